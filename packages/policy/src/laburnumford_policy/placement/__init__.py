"""Server selection and request queueing for servers whose speed changes within milliseconds."""
