"""The codec of client frames."""

import unittest

from magpieshift.downstream.errors import FrameError
from magpieshift.downstream.frames import FrameParser, FrameType, frame_head, read_fields
from tests.downstream.server_case import FIELDS, request


class Frames(unittest.TestCase):
    def test_frames_may_be_cut_anywhere(self) -> None:
        data = request(1) + frame_head(FrameType.CANCEL, 1)
        for size in (1, 3, 1000):
            parser = FrameParser()
            chunks = [data[start : start + size] for start in range(0, len(data), size)]
            frames = [frame for chunk in chunks for frame in parser.feed(chunk)]
            self.assertEqual([(f.type, f.stream_id) for f in frames], [(1, 1), (3, 1)])
            self.assertEqual(read_fields(frames[0].payload)[0], FIELDS)
            self.assertEqual(parser.partial_bytes, 0)

    def test_bad_lengths_are_rejected_before_anything_is_stored_for_them(self) -> None:
        for length in (0, 4, 262_145):
            with self.subTest(length), self.assertRaises(FrameError):
                list(FrameParser().feed(length.to_bytes(4, "little")))


if __name__ == "__main__":
    unittest.main()
