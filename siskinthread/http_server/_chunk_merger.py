"""Merge the chunks of a request body into few large ones."""

import re

LINE_END = b"\r\n"
# A line of RFC 9112, section 7.1, without its end; the extension is ignored.
CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,20})(?:;.*)?[ \t]*")
# Not a chunk line, so that h11 reports the framing as malformed.
MALFORMED = LINE_END


class ChunkMerger:
    """Decodes the chunks of one body and frames their data anew as large chunks.

    h11 returns an event for each chunk, which costs far more processor time than the
    few bytes that a chunk may hold.

    Parameters
    ----------
    line_limit_bytes : int
        Maximum size of a chunk line.

    Attributes
    ----------
    is_last : bool
        Whether the last chunk was read; the trailer section follows.
    """

    __slots__ = ("_expects_end", "_left_bytes", "_line_limit_bytes", "is_last")

    def __init__(self, line_limit_bytes):
        self._line_limit_bytes = line_limit_bytes
        # Bytes of the current chunk that are still to come.
        self._left_bytes = 0
        self._expects_end = False
        self.is_last = False

    def merge(self, data, parts_limit):
        """Return merged framing, the number of bytes read, and whether more is left.

        Parameters
        ----------
        data : bytes
            Bytes from the caller.
        parts_limit : int
            Maximum number of chunks to read.

        Returns
        -------
        framing : bytes
            At most one chunk, then the line of the last chunk or malformed framing.
        read_bytes : int
            Number of bytes of `data` that `framing` stands for.
        reached_limit : bool
            Whether reading ended at `parts_limit`.
        """
        parts = []
        end = b""
        position = 0
        for _ in range(parts_limit):
            if self._expects_end:
                found = data[position : position + len(LINE_END)]
                if len(found) < len(LINE_END) and LINE_END.startswith(found):
                    break
                if found != LINE_END:
                    end = MALFORMED
                    break
                position += len(LINE_END)
                self._expects_end = False
            if not self._left_bytes:
                line_end = data.find(LINE_END, position)
                if line_end < 0:
                    if len(data) - position > self._line_limit_bytes:
                        # h11 reports the line as too long.
                        end, position = data[position:], len(data)
                    break
                match = CHUNK_LINE.fullmatch(data, position, line_end)
                if match is None:
                    end = MALFORMED
                    break
                position = line_end + len(LINE_END)
                self._left_bytes = int(match[1], 16)
                if not self._left_bytes:
                    end = b"0" + LINE_END
                    self.is_last = True
                    break
            part = data[position : position + self._left_bytes]
            if not part:
                break
            parts.append(part)
            position += len(part)
            self._left_bytes -= len(part)
            self._expects_end = not self._left_bytes
        else:
            return _frame(parts), position, True
        return _frame(parts) + end, position, False


def _frame(parts):
    if not parts:
        return b""
    merged = b"".join(parts)
    return b"%x\r\n%b\r\n" % (len(merged), merged)
