"""Which runner holds which model, and who may load weights when."""
