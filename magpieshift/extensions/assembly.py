"""Creates the extensions that a router's options and settings ask for.

The modules of an extension are imported only if it is used, so that a router without it loads none of its
libraries.
"""

from __future__ import annotations

from magpieshift.app import EdgeRouter
from magpieshift.config import MembershipSettings
from magpieshift.control.version_manager import VersionManager
from magpieshift.extensions.extension import Extension
from magpieshift.extensions.options import Options

BYTES_PER_MB_SHIFT = 20


def assemble(options: Options, router: EdgeRouter, manager: VersionManager, seed: int) -> list[Extension]:
    """Create the extensions of a router; returns them in the order in which they start.

    ``seed`` seeds the random generators of membership and its gossip. Raises ``ConfigError`` if an extension
    cannot be created.
    """
    extensions: list[Extension] = []
    name = router.document.name
    if options.capture or options.hash_key:
        extensions += _capture(options, router)
    if options.control:
        from magpieshift.extensions.control_channel import ControlChannel

        extensions.append(ControlChannel(router, manager, options.control, name))
    if options.relays:
        from magpieshift.extensions.relay_subscription import RelaySubscription
        from magpieshift.relay.addresses import read_relays

        relays = read_relays(options.relays, options.region, "relays")
        extensions.append(RelaySubscription(router, manager, relays, options.region, name))
    if router.document.membership is not None:
        extensions += _membership(router, router.document.membership, seed)
    if options.label or options.term >= 0:
        from magpieshift.extensions.counters import RequestCounters
        from magpieshift.extensions.fencing import FencingTerms

        extensions.append(FencingTerms(router, options.term))
        extensions.append(RequestCounters(router, options.label))
    return extensions


def _capture(options: Options, router: EdgeRouter) -> list[Extension]:
    from magpieshift.capture.writer import Limits
    from magpieshift.extensions.capture_recording import CaptureRecording, keyed_hash

    if options.hash_key:
        router.engine.object_number = keyed_hash(options.hash_key)
    if not options.capture:
        return []
    limits = Limits(budget_bytes=options.capture_mb << BYTES_PER_MB_SHIFT)
    return [CaptureRecording(router, options.capture, limits, bool(options.hash_key))]


def _membership(router: EdgeRouter, settings: MembershipSettings, seed: int) -> list[Extension]:
    from magpieshift.extensions.membership import Membership

    membership = Membership(router, settings, seed)
    if not settings.gossips_overload:
        return [membership]
    from magpieshift.extensions.overload_gossip import OverloadGossip

    return [membership, OverloadGossip(router, membership, seed, settings.may_offload)]
