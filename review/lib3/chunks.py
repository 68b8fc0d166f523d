"""Clients that nobody controls: chunked bodies in chunks of one size.

Usage: chunks.py IP PORT CONNECTIONS SECONDS BYTES_PER_S CHUNK_BYTES. Each connection
sends a body that stops just short of the limit on bodies, and stays open. One that
is closed is opened again. The rate is that of all bytes of a connection.
"""

from __future__ import annotations

import socket
import sys
import threading
import time

_BODY_BYTES = 4_194_303
_PIECE_BYTES = 30_000
_HEAD = (
    b'POST /sends/x HTTP/1.1\r\nHost: desk.example\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)


def send_body(address, last_s, bytes_per_s, chunk_bytes) -> None:
    """Send one body at a limited rate, and wait for the end."""
    chunk = b'%x\r\n%s\r\n' % (chunk_bytes, b'a' * chunk_bytes)
    per_piece = max(1, _PIECE_BYTES // len(chunk))
    with socket.create_connection(address, timeout=5) as connection:
        connection.sendall(_HEAD)
        left = _BODY_BYTES // chunk_bytes
        next_s = time.monotonic()
        while left and time.monotonic() < last_s:
            piece = chunk * min(left, per_piece)
            connection.sendall(piece)
            left -= min(left, per_piece)
            next_s = max(next_s, time.monotonic() - 0.1)
            next_s += len(piece) / bytes_per_s
            time.sleep(max(0.0, next_s - time.monotonic()))
        connection.settimeout(max(0.1, last_s - time.monotonic()))
        while connection.recv(4_096):
            pass


def send_bodies(address, last_s, bytes_per_s, chunk_bytes) -> None:
    """Send bodies until a time."""
    while time.monotonic() < last_s:
        try:
            send_body(address, last_s, bytes_per_s, chunk_bytes)
        except OSError:
            time.sleep(0.05)


def main() -> None:
    """Run all connections."""
    ip, port, count, seconds, bytes_per_s, chunk_bytes = sys.argv[1:]
    last_s = time.monotonic() + float(seconds)
    threads = [
        threading.Thread(
            target=send_bodies,
            args=(
                (ip, int(port)),
                last_s,
                float(bytes_per_s),
                int(chunk_bytes),
            ),
            daemon=True,
        )
        for _ in range(int(count))
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


main()
