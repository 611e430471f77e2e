"""Peer protocol of the system's processes: CBOR over WebSockets."""
