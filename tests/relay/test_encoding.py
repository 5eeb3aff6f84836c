"""Encoding and decoding of the fan-out tier's messages: round trips, sizes and malformed messages."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from magpieshift.control.router_session import MAX_MESSAGE_BYTES
from magpieshift.control.wire import control_pb2 as wire
from magpieshift.relay import decoding, encoding
from magpieshift.relay.decoding import MAX_SNAPSHOT_BYTES
from magpieshift.relay.errors import MalformedMessageError
from magpieshift.relay.messages import (
    NO_EPOCH,
    Batch,
    ConfigurationChange,
    DownstreamMessage,
    EndpointListChange,
    Epoch,
    FreshnessProof,
    Join,
    Progress,
    Purge,
    Snapshot,
    UpstreamMessage,
)

counts = st.integers(0, (1 << 63) - 1)
times = st.one_of(
    st.integers(0, decoding.MAX_UNIX_TIME_US), st.integers(0, 1 << 51).map(lambda ms: ms * 1000)
)
texts = st.text(max_size=20)
epochs = st.builds(Epoch, st.integers(1, 1 << 50), st.integers(0, (1 << 64) - 1))
plain_keys = st.integers(0, (1 << 64) - 1).map(lambda key: f"{key:016x}")
other_keys = st.sampled_from(["a", "ABCDEF0123456789", "00ff", "f" * 17, "0" * 15])
groups = st.integers(-(1 << 63), (1 << 63) - 1)
purges = st.one_of(
    st.builds(Purge, plain_keys | other_keys, st.just(0), times),
    st.builds(Purge, st.just(""), groups, times),
)
changes = st.builds(
    ConfigurationChange, st.integers(1, 1 << 62), texts.map(lambda text: text + "d"), texts, st.binary()
)
entries = st.lists(st.one_of(purges, st.builds(EndpointListChange, texts), changes), max_size=20).map(tuple)
proofs = st.builds(FreshnessProof, counts, counts, counts, counts, counts)
batches = st.builds(Batch, epochs, st.integers(1, 1 << 62), entries, st.none() | proofs, st.booleans())
snapshots = st.builds(
    Snapshot, epochs, counts, texts, st.lists(purges, max_size=20).map(tuple), st.none() | changes
)
full_versions = st.builds(
    ConfigurationChange, st.integers(1, 1 << 62), st.just("d1"), st.just(""), texts.map(str.encode)
)
some_epochs = epochs | st.just(NO_EPOCH)
joins = st.builds(Join, texts.map(lambda text: text + "n"), texts, some_epochs, counts, texts, some_epochs)
progress = st.builds(
    Progress,
    some_epochs,
    counts,
    counts,
    counts,
    texts,
    counts,
    texts,
    st.booleans(),
    st.lists(texts, max_size=5).map(tuple),
    st.integers(0, (1 << 32) - 1),
    st.integers(0, (1 << 32) - 1),
    st.booleans(),
)


def decoding_error(data: bytes) -> MalformedMessageError:
    """The error for bytes that are not a valid message to a follower."""
    try:
        found = decoding.decode_downstream(data)
    except MalformedMessageError as err:
        return err
    raise AssertionError(f"expected MalformedMessageError, found {found}")


def batch_of(*runs: wire.Run, **fields: object) -> bytes:
    complete = {"epoch": wire.Epoch(term=1, instance=1), "first": 1, "runs": runs} | fields
    return bytes(wire.FromControl(batch=wire.Batch(**complete)).SerializeToString())  # type: ignore[arg-type]


class RoundTrips(unittest.TestCase):
    @given(st.one_of(batches, snapshots, full_versions))
    def test_to_followers(self, message: DownstreamMessage) -> None:
        self.assertEqual(decoding.decode_downstream(encoding.encode_downstream(message)), message)

    @given(st.one_of(joins, progress))
    def test_from_followers(self, message: UpstreamMessage) -> None:
        self.assertEqual(decoding.decode_upstream(encoding.encode_upstream(message)), message)

    def test_a_delta_outside_the_log(self) -> None:
        delta = wire.Delta(base=1, base_digest="b", changes=[wire.Change(path=["listen"])])
        change = ConfigurationChange(2, "d", "b", bytes(delta.SerializeToString()))
        self.assertEqual(decoding.decode_downstream(encoding.encode_downstream(change)), change)

    @given(batches, proofs)
    def test_two_followers_share_the_bytes_of_the_entries(self, batch: Batch, proof: FreshnessProof) -> None:
        shared = encoding.encode_entries(batch.epoch, batch.first, batch.entries)
        for each in (proof, FreshnessProof(proof.probe, 0, proof.head, proof.watermark, 0)):
            found = decoding.decode_downstream(shared + encoding.encode_proof(each))
            self.assertEqual(found, Batch(batch.epoch, batch.first, batch.entries, each))


class Sizes(unittest.TestCase):
    def test_a_purge_takes_sixteen_bytes_at_most_in_a_batch_of_a_quarter_second(self) -> None:
        """27 purges are a quarter of a second at 110 a second; they were issued up to half a second
        before."""
        now_us = 1_790_000_000_000_000
        recent_purges = [
            Purge(f"{(1 << 63) + 77 * n:016x}", 0, now_us - 500_000 + n * 9_000 * 2) for n in range(27)
        ]
        proof = FreshnessProof(1 << 20, 8_000_000, 1 << 34, 1 << 34, 2_000_000)
        data = encoding.encode_downstream(
            Batch(Epoch(now_us // 1000, 1 << 63), 1 << 34, tuple(recent_purges), proof)
        )
        self.assertLessEqual(len(data) / len(recent_purges), 16)

    def test_a_group_and_an_unusual_key_do_not_enlarge_the_encoding_of_other_purges(self) -> None:
        object_purges = [Purge(f"{n:016x}", 0, 5_000_000) for n in range(100)]
        mixed_purges = [
            *object_purges[:50],
            Purge("", 7, 5_000_000),
            Purge("ABC", 0, 5_000_000),
            *object_purges[50:],
        ]
        sizes = [
            len(encoding.encode_downstream(Batch(Epoch(1, 1), 1, tuple(each), None)))
            for each in (object_purges, mixed_purges)
        ]
        self.assertLess(sizes[1] - sizes[0], 60)


class MalformedMessages(unittest.TestCase):
    @given(st.one_of(batches, snapshots), st.data())
    def test_a_truncated_message_is_rejected_or_proves_less(
        self, message: Batch | Snapshot, data: st.DataObject
    ) -> None:
        complete = encoding.encode_downstream(message)
        truncated = complete[: data.draw(st.integers(0, len(complete) - 1))]
        try:
            found = decoding.decode_downstream(truncated)
        except MalformedMessageError as err:
            self.assertTrue(err.place and err.found and err.expected)
        else:
            assert isinstance(message, Batch)  # truncated between its entries and its proof
            self.assertEqual(
                found, Batch(message.epoch, message.first, message.entries, None, message.snapshot_pending)
            )

    @given(st.binary(max_size=200))
    def test_random_bytes_are_decoded_or_rejected_as_malformed(self, data: bytes) -> None:
        for decode in (decoding.decode_downstream, decoding.decode_upstream):
            try:
                decode(data)
            except MalformedMessageError as err:
                self.assertNotIn("\n", str(err))

    def test_an_oversized_message(self) -> None:
        def snapshot(bytes_: int) -> bytes:
            return encoding.encode_downstream(Snapshot(Epoch(1, 1), 1, "x" * bytes_, (), None))

        batch = Batch(Epoch(1, 1), 1, (EndpointListChange("x" * MAX_MESSAGE_BYTES),), None)
        self.assertIsInstance(decoding.decode_downstream(snapshot(MAX_MESSAGE_BYTES)), Snapshot)
        for data, place, max_bytes in (
            (encoding.encode_downstream(batch), "batch", MAX_MESSAGE_BYTES),
            (snapshot(MAX_SNAPSHOT_BYTES), "message", MAX_SNAPSHOT_BYTES),
        ):
            err = decoding_error(data)
            self.assertEqual((err.place, err.expected), (place, f"at most {max_bytes}"))

    def test_malformed_messages_are_reported_with_their_place(self) -> None:
        for data, place in (
            (b"", "message"),
            (b"\xff\xff\xff", "message"),
            (batch_of(first=0), "batch first"),
            (batch_of(epoch=wire.Epoch()), "batch epoch"),
            (batch_of(wire.Run()), "batch runs[0]"),
            (batch_of(wire.Run(purges=wire.Purges(before=[0])), base_ms=1), "batch runs[0] purges"),
            (
                batch_of(wire.Run(purges=wire.Purges(objects=[1, 2], before=[0]))),
                "batch runs[0] purges before",
            ),
            (
                batch_of(wire.Run(purges=wire.Purges(objects=[1], groups=[2], before=[0]))),
                "batch runs[0] purges",
            ),
            (batch_of(wire.Run(purges=wire.Purges(objects=[1], before=[9]))), "batch runs[0] purges before"),
            (batch_of(wire.Run(purges=wire.Purges(keys=["x y"], before=[0]))), "batch runs[0] purges keys"),
            (batch_of(wire.Run(configuration=wire.ConfigurationVersion())), "batch runs[0] configuration"),
            (encoding.encode_proof(FreshnessProof(1, 1, 1, 1)), "batch first"),
            (bytes(wire.FromControl(version=wire.Version(number=1)).SerializeToString()), "version"),
        ):
            with self.subTest(place):
                self.assertEqual(decoding_error(data).place, place)

    def test_malformed_messages_from_followers_are_rejected(self) -> None:
        hello = bytes(wire.FromRouter(hello=wire.Hello(router="r")).SerializeToString())
        empty_name = encoding.encode_upstream(Join("", "", NO_EPOCH, 0, ""))
        long_name = encoding.encode_upstream(Join("n" * (decoding.MAX_NAME_LENGTH + 1), "", NO_EPOCH, 0, ""))
        for data, found in (
            (hello, "hello"),
            (b"", "nothing"),
            (empty_name, "0 characters"),
            (long_name, "257 characters"),
        ):
            with self.assertRaises(MalformedMessageError) as caught:
                decoding.decode_upstream(data)
            self.assertEqual(caught.exception.found, found)


if __name__ == "__main__":
    unittest.main()
