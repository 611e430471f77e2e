"""Small stand-ins for the systems around the router.

They speak the published protocols of the log service, the instance list,
model engines and plain services, and can be told to fail. Nothing in the
product imports them but the demo.
"""
