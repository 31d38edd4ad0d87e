"""A loopback proxy of TCP connections that can be told to misbehave."""

import asyncio
import socket
import struct
import threading

# Closes with a reset instead of an orderly end.
RESET = struct.pack("ii", 1, 0)


class Link:
    """One proxied address. Delay in seconds; a direction that is cut takes
    bytes and delivers none, with both cut the link is silent."""

    def __init__(self, proxy, listen, forward):
        self.proxy = proxy
        self.listen = listen
        self.forward = forward
        self.delay = 0.0
        self.cut_requests = False
        self.cut_answers = False
        self.writers = set()

    def heal(self):
        """Ends the fault. Bytes that a cut has taken are lost, so that the
        connections which were open meanwhile are reset."""
        was_cut = self.cut_requests or self.cut_answers
        self.delay = 0.0
        self.cut_requests = self.cut_answers = False
        if was_cut:
            self.reset()

    def reset(self):
        """Resets all connections that are open now."""
        self.proxy.call(self.reset_now)

    def reset_now(self):
        for writer in list(self.writers):
            connection = writer.get_extra_info("socket")
            if connection is not None and not writer.is_closing():
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                      RESET)
            writer.transport.abort()

    async def serve(self, reader, writer):
        try:
            to_reader, to_writer = await asyncio.open_connection(*self.forward)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, to_writer}
        try:
            await asyncio.gather(
                self.pump(reader, to_writer, lambda: self.cut_requests),
                self.pump(to_reader, writer, lambda: self.cut_answers))
        except OSError:
            pass  # One side is gone; both are closed below.
        finally:
            self.writers -= {writer, to_writer}
            writer.close()
            to_writer.close()

    async def pump(self, reader, writer, is_cut):
        while data := await reader.read(65536):
            if self.delay:
                await asyncio.sleep(self.delay)
            if not is_cut():
                writer.write(data)
                await writer.drain()
        # An orderly end of one direction ends the connection: HTTP/1.1 and the
        # peer protocol have no half-open ones.
        writer.close()


class FaultProxy:
    """Runs links in a thread of its own."""

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

    def call(self, function):
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
