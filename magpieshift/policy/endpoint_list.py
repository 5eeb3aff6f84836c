"""Applies updates of the endpoint list: adds endpoints by role, and drops the state of removed or restarted
ones."""

from __future__ import annotations

from dataclasses import replace

from magpieshift.policy.events import Endpoint, EndpointListKind, EndpointListReceived, EndpointState
from magpieshift.policy.forwarding import release_queue
from magpieshift.policy.hashing import mix
from magpieshift.policy.slow_start import delay_first_attempt
from magpieshift.policy.state import EndpointRecord, RouterState


def endpoint_list_received(state: RouterState, event: EndpointListReceived) -> None:
    """Apply a complete list or changes; after a failed fetch the previous list stays in force."""
    if event.kind == EndpointListKind.FAILED:
        state.subscribed = not state.settings.must_subscribe
    listed = {entry.number: entry for entry in event.endpoints}
    if event.kind in (EndpointListKind.COMPLETE, EndpointListKind.CACHED):
        for number, endpoint in list(state.endpoints.items()):
            if number not in listed:
                _remove(state, endpoint)
    for entry in listed.values():
        _update(state, entry)


def _remove(state: RouterState, endpoint: EndpointRecord) -> None:
    """Remove an endpoint and advance the requests queued there; attempts in flight keep its record."""
    for table in (state.endpoints, state.caches, state.parents, state.origins):
        table.pop(endpoint.entry.number, None)
    endpoint.entry = replace(endpoint.entry, state=EndpointState.REMOVED)
    release_queue(state, endpoint)


def _table_for(state: RouterState, entry: Endpoint) -> dict[int, EndpointRecord] | None:
    """The table for an entry; None if no requests may be sent to the endpoint."""
    if entry.state == EndpointState.REMOVED:
        return None
    if entry.kind == state.settings.origin_kind:
        return state.origins
    if entry.kind == state.settings.parent_kind:
        return state.parents
    return state.caches if entry.zone == state.settings.zone else None


def _update(state: RouterState, entry: Endpoint) -> None:
    """Add or update one endpoint; its former state is dropped if its process restarted or its role
    changed."""
    table = _table_for(state, entry)
    known = state.endpoints.get(entry.number)
    if known is not None and (
        table is None or entry.number not in table or entry.started_us != known.entry.started_us
    ):
        _remove(state, known)
        known = None
    if table is None:
        return
    endpoint = known
    if endpoint is None:
        endpoint = EndpointRecord(entry, mix(entry.number))
        table[entry.number] = endpoint
        state.endpoints[entry.number] = endpoint
        delay_first_attempt(state, endpoint)
    endpoint.entry = entry
    release_queue(state, endpoint)
