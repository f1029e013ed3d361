"""HTTP/1.1 over gevent sockets, strict on both sides."""
