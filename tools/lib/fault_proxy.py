"""A TCP proxy on loopback addresses that injects connection faults."""

import asyncio
import socket
import struct
import threading

# SO_LINGER value that makes close() send RST instead of FIN.
LINGER_RESET = struct.pack("ii", 1, 0)


# Starts of responses that are followed by bytes without end.
ENDLESS = {
    "head": b"HTTP/1.1 200 OK\r\nX-Field: ",
    "fields": b"HTTP/1.1 200 OK\r\n",
    "body": b"HTTP/1.1 200 OK\r\n\r\n",
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
}
ENDLESS_BLOCKS = {"fields": b"X-Field: 1\r\n" * 4096,
                  "chunks": b"400\r\n" + b"x" * 1024 + b"\r\n"}


class Link:
    """One proxied address.

    The delay is in seconds. A direction that is cut accepts bytes but does not
    forward them; with both directions cut the link is silent. With a kind of
    ENDLESS set, each answer is replaced by bytes that end only when the
    receiver closes the connection.
    """

    def __init__(self, proxy, listen, forward):
        self.proxy = proxy
        self.listen = listen
        self.forward = forward
        self.delay = 0.0
        self.cut_requests = False
        self.cut_answers = False
        self.endless = None
        self.writers = set()

    def clear_fault(self):
        """Ends the fault.

        The bytes received during a cut are lost, so all open
        connections are reset when the cut ends.
        """
        was_cut = self.cut_requests or self.cut_answers or self.endless
        self.delay = 0.0
        self.endless = None
        self.cut_requests = self.cut_answers = False
        if was_cut:
            self.reset()

    def reset(self):
        """Resets all open connections; may be called from any thread."""
        self.proxy.call_on_loop(self.reset_on_loop)

    def reset_on_loop(self):
        for writer in list(self.writers):
            self.abort(writer)

    @staticmethod
    def abort(writer):
        connection = writer.get_extra_info("socket")
        if connection is not None and not writer.is_closing():
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                  LINGER_RESET)
        writer.transport.abort()

    async def serve(self, reader, writer):
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                *self.forward)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, upstream_writer}
        try:
            await asyncio.gather(
                self.pump(reader, upstream_writer, lambda: self.cut_requests),
                self.pump(upstream_reader, writer, lambda: self.cut_answers,
                          answers=True))
        except OSError:
            pass  # One side closed its connection; both are closed below.
        finally:
            self.writers -= {writer, upstream_writer}
            writer.close()
            upstream_writer.close()

    async def flood(self, writer, kind):
        writer.write(ENDLESS[kind])
        while self.endless and not writer.is_closing():
            writer.write(ENDLESS_BLOCKS.get(kind, b"x" * 16384))
            await writer.drain()
        # A FIN would be the regular end of a body without a length.
        self.abort(writer)

    async def pump(self, reader, writer, is_cut, answers=False):
        while data := await reader.read(65536):
            if answers and self.endless:
                await self.flood(writer, self.endless)
                break
            if self.delay:
                await asyncio.sleep(self.delay)
            if not is_cut():
                writer.write(data)
                await writer.drain()
        # A FIN in one direction closes the whole connection: HTTP/1.1 and the
        # peer protocol do not use half-closed connections.
        writer.close()


class FaultProxy:
    """Runs links on an event loop in a dedicated thread."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.servers = []
        self.thread = threading.Thread(target=self.loop.run_forever,
                                       daemon=True)
        self.thread.start()

    def add(self, listen, forward):
        link = Link(self, listen, forward)
        self.servers.append(asyncio.run_coroutine_threadsafe(
            asyncio.start_server(link.serve, *listen), self.loop).result(5))
        return link

    def call_on_loop(self, function):
        self.loop.call_soon_threadsafe(function)

    def close(self):
        async def end():
            for server in self.servers:
                server.close()
            tasks = asyncio.all_tasks() - {asyncio.current_task()}
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        asyncio.run_coroutine_threadsafe(end(), self.loop).result(5)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(5)
        self.loop.close()
