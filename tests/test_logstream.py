import os

import pytest

from sequoiachute import clock
from sequoiachute.logstream import MAX_BURST_LINES, MAX_LINES_PER_SECOND, BoundedStream

pytestmark = pytest.mark.usefixtures("paused_clock")


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


def read_lines(reader):
    data = b""
    while True:
        try:
            data += os.read(reader, 65536)
        except BlockingIOError:
            return data.decode().splitlines()


def test_lines_arrive_complete_and_in_order(pipe):
    stream = BoundedStream(pipe[1])
    for number in range(50):
        stream.write(f"line {number}\n")
        stream.flush()
    assert read_lines(pipe[0]) == [f"line {number}" for number in range(50)]


def test_stalled_reader_does_not_block_the_writer(pipe):
    stream = BoundedStream(pipe[1])
    lines = []
    for number in range(1500):
        lines.append(f"line {number} " + "x" * 100)
        stream.write(lines[-1] + "\n")
        stream.flush()
    received = []
    for _ in range(20):
        received += read_lines(pipe[0])
        clock.sleep(0.1)
    assert "".join(received) == "".join(lines)
    assert not stream.dropped


def test_lines_over_the_rate_are_dropped_and_counted(pipe):
    stream = BoundedStream(pipe[1])
    for number in range(int(MAX_BURST_LINES) + 500):
        stream.write(f"{number}\n")
    clock.sleep(1)
    stream.write("last\n")
    stream.flush()
    received = read_lines(pipe[0])
    assert stream.dropped == 500
    assert received[-1] == "last"
    assert '"count":500' in received[-2]
    assert len(received) <= MAX_BURST_LINES + MAX_LINES_PER_SECOND


def test_lines_for_a_closed_reader_are_dropped():
    reader, writer = os.pipe()
    os.close(reader)
    stream = BoundedStream(writer)
    stream.write("x\n")
    stream.flush()
    assert stream.dropped == 1
    os.close(writer)
