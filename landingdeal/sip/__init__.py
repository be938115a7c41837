"""SIP: the message type and parser that both fronts share, and the SIP front itself."""
