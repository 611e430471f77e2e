"""The protocol between own processes: websockets with CBOR."""
