import os

import pytest

from sequoiachute import clock
from sequoiachute.logstream import BURST_LINES, LINES_PER_SECOND, BoundedStream

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


def test_lines_arrive_whole_and_in_order(pipe):
    stream = BoundedStream(pipe[1])
    for number in range(50):
        stream.write(f"line {number}\n")
        stream.flush()
    assert read_lines(pipe[0]) == [f"line {number}" for number in range(50)]


def test_reader_that_stands_still_blocks_nothing(pipe):
    stream = BoundedStream(pipe[1])
    lines = []
    for number in range(1500):
        lines.append(f"line {number} " + "x" * 100)
        stream.write(lines[-1] + "\n")
        stream.flush()
    got = []
    for _ in range(20):
        got += read_lines(pipe[0])
        clock.sleep(0.1)
    assert "".join(got) == "".join(lines)
    assert not stream.dropped


def test_lines_over_the_rate_are_dropped_and_counted(pipe):
    stream = BoundedStream(pipe[1])
    for number in range(int(BURST_LINES) + 500):
        stream.write(f"{number}\n")
    clock.sleep(1)
    stream.write("last\n")
    stream.flush()
    got = read_lines(pipe[0])
    assert stream.dropped == 500
    assert got[-1] == "last"
    assert '"count":500' in got[-2]
    assert len(got) <= BURST_LINES + LINES_PER_SECOND


def test_closed_reader_is_borne():
    reader, writer = os.pipe()
    os.close(reader)
    stream = BoundedStream(writer)
    stream.write("x\n")
    stream.flush()
    assert stream.dropped == 1
    os.close(writer)
