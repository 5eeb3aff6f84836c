"""Connection steering between two listeners on one address."""

import socket
import unittest

from magpieshift.sockets import listen_socket, steer_to_second


class SteerTest(unittest.TestCase):
    def test_connections_go_to_the_second_listener_and_back_when_it_closes(self) -> None:
        first = listen_socket("127.0.0.1", 0, shared=True)
        host, port = first.getsockname()
        second = listen_socket(host, port, shared=True)
        steer_to_second(second)
        address = first.getsockname()

        def assert_accepted_by(listener: socket.socket) -> None:
            with socket.create_connection(address):
                listener.setblocking(True)
                listener.settimeout(20)
                listener.accept()[0].close()

        for _ in range(20):
            assert_accepted_by(second)
        second.close()
        assert_accepted_by(first)
        first.close()


if __name__ == "__main__":
    unittest.main()
