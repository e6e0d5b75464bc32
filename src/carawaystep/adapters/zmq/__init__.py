"""Links between entry processes over zmq."""
