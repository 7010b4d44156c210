"""Datagrams between entry VMs: reports to the controller, decisions from it."""

from __future__ import annotations

import logging

import cbor2
from twisted.internet import protocol

from briarspoke.entry.fingerprints import FINGERPRINT_BYTES
from briarspoke.entry.permits import PermitAnswer
from briarspoke.entry.sharenews import News, ServiceNews
from briarspoke.entry.suspects import MAX_CRASHES_PER_SUSPECT, SuspectReport
from briarspoke.keyspace.allowance import Admission
from briarspoke.keyspace.deputies import MapNotice, MapReceipt
from briarspoke.keyspace.keymap import Owner
from briarspoke.keyspace.load import LoadCounts
from briarspoke.platform.limits import MAX_PER_S, MIN_PER_S

log = logging.getLogger(__name__)

REPORT_INTERVAL_S = 0.25
# For load reports. The first datagram of a report also holds the servers' latencies.
MAX_KEYS_PER_DATAGRAM = 400
# Kind of a datagram: the first element of its CBOR array. 1 was a load report without
# weights and rejections.
KIND_OWNERS = 2
KIND_LOAD = 3
KIND_ALLOWANCES = 4
KIND_LIMIT = 5
KIND_PERMIT_REQUEST = 6
KIND_PERMITS = 7
KIND_SUSPECT = 8
KIND_LEAVING = 9
KIND_SHARES = 10
KIND_DEMAND = 11
KIND_COLD = 12
KIND_MAP_NOTICE = 13
KIND_MAP_RECEIPT = 14
# Servers in one datagram about cold servers; about 1,000 bytes.
MAX_SERVERS_PER_DATAGRAM = 20
# Requests or permits that one datagram counts at most.
MAX_COUNT = 10_000


class Datagrams(protocol.DatagramProtocol):
    """Sends and receives load reports and announcements of new owners.

    Lost datagrams are not resent: load is reported again after the next interval, and
    owners also arrive with the key map in the store.

    :param on_load: called with (service, :class:`LoadCounts`).
    :param on_owners: called with (service, [(first, last, :class:`Owner`)]).
    :param on_allowances: called with (service,
        :class:`briarspoke.keyspace.allowance.Admission`).
    :param on_suspect: called with (:class:`SuspectReport`).
    :param on_leaving: called with (service, pair of server identifier and incarnation).
    :param on_shares: called with (:class:`briarspoke.entry.sharenews.News`).
    :param on_demand: called with (node, process, number, ``{service: requests}``).
    :param on_map_notice: called with (:class:`MapNotice`, address of the controller).
    :param on_map_receipt: called with (:class:`MapReceipt`).
    :param rate_limits: the :class:`briarspoke.entry.ratelimits.RateLimits`.
    """

    def __init__(
        self,
        *,
        on_load,
        on_owners,
        on_allowances,
        on_suspect,
        on_leaving,
        on_shares,
        on_demand,
        on_map_notice,
        on_map_receipt,
        rate_limits,
    ):
        self._on_load = on_load
        self._on_owners = on_owners
        self._on_allowances = on_allowances
        self._on_suspect = on_suspect
        self._on_leaving = on_leaving
        self._on_shares = on_shares
        self._on_demand = on_demand
        self._on_map_notice = on_map_notice
        self._on_map_receipt = on_map_receipt
        self._rate_limits = rate_limits

    def datagramReceived(self, data, address):
        try:
            kind, *rest = cbor2.loads(data)
            if kind == KIND_SUSPECT:
                handle, decoded = self._on_suspect, (_decode_suspect(rest),)
            elif kind == KIND_SHARES:
                handle, decoded = self._on_shares, (_decode_shares(rest),)
            elif kind == KIND_DEMAND:
                handle, decoded = self._on_demand, _decode_demand(rest)
            elif kind == KIND_MAP_NOTICE:
                handle, decoded = self._on_map_notice, (_decode_notice(rest), address)
            elif kind == KIND_MAP_RECEIPT:
                handle, decoded = self._on_map_receipt, (_decode_receipt(rest),)
            else:
                service, *fields = rest
                handle, decoded = self._decode(kind, fields, address)
                decoded = (str(service), *decoded)
        except (
            cbor2.CBORDecodeError,
            ValueError,
            TypeError,
            AttributeError,
            OverflowError,
            RecursionError,
        ) as error:
            log.warning(
                "keys: unreadable datagram from=%s error=%r", address[0], str(error)
            )
            return
        handle(*decoded)

    def _decode(self, kind, rest, address):
        if kind == KIND_LOAD:
            counts, latencies, rejections = rest
            load = LoadCounts(
                requests={int(key): int(count) for key, count in counts.items()},
                latencies={
                    str(server_id): (weight / 100, total_ms / 1000)
                    for server_id, (weight, total_ms) in latencies.items()
                },
                rejections={str(s): int(count) for s, count in rejections.items()},
            )
            return self._on_load, (load,)
        if kind == KIND_ALLOWANCES:
            return self._on_allowances, (_decode_admission(*rest),)
        if kind in (KIND_LIMIT, KIND_PERMIT_REQUEST, KIND_PERMITS):
            server_id, incarnation, *fields = rest
            instance = (str(server_id), int(incarnation))
            return self._decode_limit(kind, instance, fields, address)
        if kind == KIND_LEAVING:
            server_id, incarnation = rest
            return self._on_leaving, ((str(server_id), int(incarnation)),)
        if kind == KIND_COLD:
            (rows,) = rest
            servers = [
                ((str(server_id), int(incarnation)), *_decode_cold(cold))
                for server_id, incarnation, *cold in rows
            ]
            return self._rate_limits.peers_cold, (servers,)
        if kind != KIND_OWNERS:
            raise ValueError(f"unknown kind {kind!r}")
        changes = [
            (
                int(first),
                int(last),
                Owner(server_id=str(s), incarnation=int(i), fence=int(fence)),
            )
            for first, last, s, i, fence in rest[0]
        ]
        return self._on_owners, (changes,)

    def _decode_limit(self, kind, instance, fields, address):
        if kind == KIND_LIMIT:
            per_s, age_ms = fields
            limit = None if per_s is None else _decode_limit_per_s(per_s)
            return self._rate_limits.peer_limit, (
                instance,
                limit,
                _decode_age_s(age_ms),
            )
        if kind == KIND_PERMIT_REQUEST:
            number, per_s, age_ms, wanted, *cold = fields
            return self._rate_limits.permits_requested, (
                instance,
                int(number),
                None if cold and per_s is None else _decode_limit_per_s(per_s),
                _decode_age_s(age_ms),
                _decode_counts(wanted),
                address,
                _decode_cold(cold) if cold else None,
            )
        controller, number, serial, granted, saved, waiting = fields
        answer = PermitAnswer(
            number=int(number),
            serial=int(serial),
            granted=_decode_count(granted),
            saved=min(MAX_COUNT, max(0.0, float(saved))),
            waiting_by_rank=_decode_counts(waiting),
        )
        return self._rate_limits.permits_given, (instance, str(controller), answer)

    def send_limit(self, service, instance, per_s, age_s, addresses):
        """Tells other entry VMs the rate limit that a server has named.

        :param instance: pair of server identifier and incarnation.
        :param per_s: requests per second, or None without a limit.
        :param age_s: seconds since the answered request was sent.
        :param addresses: [(host, port)] of the entry VMs.
        """
        data = cbor2.dumps([KIND_LIMIT, service, *instance, per_s, _ms(age_s)])
        for address in addresses:
            self.transport.write(data, address)

    def send_cold(self, service, servers, addresses):
        """Tells other entry VMs which servers are cold.

        :param servers: [(pair of server identifier and incarnation, seconds for which
            it stays cold, number of its entry that was read last)].
        :param addresses: [(host, port)] of the entry VMs.
        """
        rows = [[*instance, *_cold_fields(*cold)] for instance, *cold in servers]
        for start in range(0, len(rows), MAX_SERVERS_PER_DATAGRAM):
            part = rows[start : start + MAX_SERVERS_PER_DATAGRAM]
            data = cbor2.dumps([KIND_COLD, service, part])
            for address in addresses:
                self.transport.write(data, address)

    def send_permit_request(
        self,
        service,
        instance,
        number,
        per_s,
        age_s,
        wanted_by_rank,
        address,
        cold=None,
    ):
        """Asks the controller for permits to send requests to a server.

        :param instance: pair of server identifier and incarnation.
        :param number: number of the request for permits.
        :param per_s: limit that the server names, or None if it is only cold.
        :param age_s: seconds since the request was sent whose answer named it.
        :param wanted_by_rank: ``{rank: requests}`` that wait at this entry VM.
        :param address: (host, port) of the controller.
        :param cold: (seconds left, number of the server's entry) of a cold server, or
            None.
        """
        fields = [number, per_s, _ms(age_s), wanted_by_rank]
        if cold is not None:
            fields += _cold_fields(*cold)
        data = cbor2.dumps([KIND_PERMIT_REQUEST, service, *instance, *fields])
        self.transport.write(data, address)

    def send_permits(self, service, instance, controller, answer, address):
        """Answers a request for permits.

        :param instance: pair of server identifier and incarnation.
        :param controller: name of this process.
        :param answer: the :class:`briarspoke.entry.permits.PermitAnswer`.
        :param address: (host, port) of the entry VM that has asked.
        """
        fields = [
            controller,
            answer.number,
            answer.serial,
            answer.granted,
            round(answer.saved, 3),
            answer.waiting_by_rank,
        ]
        data = cbor2.dumps([KIND_PERMITS, service, *instance, *fields])
        self.transport.write(data, address)

    def send_leaving(self, service, instance, addresses):
        """Tells other entry VMs that a server has said in an answer that it leaves.

        :param instance: pair of server identifier and incarnation.
        :param addresses: [(host, port)] of the entry VMs.
        """
        data = cbor2.dumps([KIND_LEAVING, service, *instance])
        for address in addresses:
            self.transport.write(data, address)

    def send_suspect(self, report, addresses):
        """Tells other entry VMs of a request that may end the servers that run it.

        :param report: the :class:`SuspectReport`.
        :param addresses: [(host, port)] of the entry VMs.
        """
        held_back_age_s = report.held_back_age_s
        data = cbor2.dumps(
            [
                KIND_SUSPECT,
                report.fingerprint,
                [
                    [server_id, incarnation, round(weight, 3)]
                    for (server_id, incarnation), weight in (
                        report.weight_by_instance.items()
                    )
                ],
                _ms(report.age_s),
                _ms(report.seen_age_s),
                None if held_back_age_s is None else _ms(held_back_age_s),
                report.trials,
                report.cleared,
            ]
        )
        for address in addresses:
            self.transport.write(data, address)

    def send_load(self, service, counts, address):
        """Sends a load report to the controller, in several datagrams if it is large.

        :param counts: the :class:`LoadCounts` of the service.
        :param address: (host, port) of the controller.
        """
        pairs = list(counts.requests.items())
        latencies = {
            server_id: [round(weight * 100), round(total_s * 1000)]
            for server_id, (weight, total_s) in counts.latencies.items()
        }
        rejections = counts.rejections
        for start in range(0, len(pairs) or 1, MAX_KEYS_PER_DATAGRAM):
            part = dict(pairs[start : start + MAX_KEYS_PER_DATAGRAM])
            self.transport.write(
                cbor2.dumps([KIND_LOAD, service, part, latencies, rejections]), address
            )
            latencies, rejections = {}, {}

    def send_demand(self, node, process, number, count_by_service, address):
        """Reports to the controller how many requests have arrived.

        :param node: name of this entry VM.
        :param process: random name of this process.
        :param number: number of the report, rising.
        :param count_by_service: ``{service: requests since the process started}``.
        :param address: (host, port) of the controller.
        """
        data = cbor2.dumps([KIND_DEMAND, node, process, number, count_by_service])
        self.transport.write(data, address)

    def send_shares(self, news, addresses):
        """Tells other entry VMs their shares and which owners have no room.

        :param news: the :class:`briarspoke.entry.sharenews.News`.
        :param addresses: [(host, port)] of the entry VMs.
        """
        by_service = {name: n.encode() for name, n in news.by_service.items()}
        fields = [news.controller, news.number, _ms(news.sent_at), news.vms, by_service]
        data = cbor2.dumps([KIND_SHARES, *fields])
        for address in addresses:
            self.transport.write(data, address)

    def send_map_notice(self, notice, address):
        """Tells an entry VM what the controller says of the key maps.

        :param notice: the :class:`briarspoke.keyspace.deputies.MapNotice`.
        :param address: (host, port) of the entry VM.
        """
        receipt = notice.receipt
        if receipt is not None:
            receipt = [receipt[0], int(receipt[1] * 1e3)]
        fields = [*notice.term, notice.number, notice.state_by_service, receipt]
        self.transport.write(cbor2.dumps([KIND_MAP_NOTICE, *fields]), address)

    def send_map_receipt(self, receipt, address):
        """Answers a notice of the controller.

        :param receipt: the :class:`briarspoke.keyspace.deputies.MapReceipt`.
        :param address: (host, port) of the controller.
        """
        # Rounded down, so that no knowledge lasts longer than it may.
        fields = [*receipt.term, receipt.number, int(receipt.sent_at * 1e3)]
        data = cbor2.dumps([KIND_MAP_RECEIPT, receipt.node, receipt.process, *fields])
        self.transport.write(data, address)

    def send_allowances(self, service, admission, addresses):
        """Tells other entry VMs which fractions of the requests for keys to admit.

        :param admission: the :class:`briarspoke.keyspace.allowance.Admission`.
        :param addresses: [(host, port)] of the entry VMs.
        """
        rounded = [
            {name: round(fraction, 4) for name, fraction in fractions.items()}
            for fractions in (admission.by_key, admission.by_server)
        ]
        data = cbor2.dumps([KIND_ALLOWANCES, service, *rounded])
        for address in addresses:
            self.transport.write(data, address)

    def send_owners(self, service, changes, addresses):
        """Announces the new owners of key ranges to other entry VMs.

        :param changes: [(first, last, :class:`Owner`)].
        :param addresses: [(host, port)] of the entry VMs.
        """
        rows = [
            [first, last, owner.server_id, owner.incarnation, owner.fence]
            for first, last, owner in changes
        ]
        data = cbor2.dumps([KIND_OWNERS, service, rows])
        for address in addresses:
            self.transport.write(data, address)


def _decode_admission(by_key, by_server):
    return Admission(
        by_key={int(key): float(fraction) for key, fraction in by_key.items()},
        by_server={str(s): float(fraction) for s, fraction in by_server.items()},
    )


def _decode_shares(fields):
    controller, number, sent_ms, vms, by_service = fields
    return News(
        controller=str(controller),
        number=int(number),
        sent_at=int(sent_ms) / 1000,
        vms=max(1, int(vms)),
        by_service={str(s): ServiceNews.decode(n) for s, n in by_service.items()},
    )


def _decode_notice(fields):
    era, revision, number, state_by_service, receipt = fields
    if receipt is not None:
        process, sent_at_ms = receipt
        receipt = (str(process), int(sent_at_ms) / 1e3)
    return MapNotice(
        term=(int(era), int(revision)),
        number=int(number),
        state_by_service={
            str(service): (int(fence), [(int(f), int(last)) for f, last in ranges])
            for service, (fence, ranges) in state_by_service.items()
        },
        receipt=receipt,
    )


def _decode_receipt(fields):
    node, process, era, revision, number, sent_at_ms = fields
    return MapReceipt(
        node=str(node),
        process=str(process),
        term=(int(era), int(revision)),
        number=int(number),
        sent_at=int(sent_at_ms) / 1e3,
    )


def _decode_demand(fields):
    node, process, number, count_by_service = fields
    counts = {str(s): max(0, int(count)) for s, count in count_by_service.items()}
    return str(node), str(process), int(number), counts


def _decode_suspect(fields):
    fingerprint, crashes, age_ms, seen_age_ms, held_back_age_ms, trials, cleared = (
        fields
    )
    if not isinstance(fingerprint, bytes) or len(fingerprint) != FINGERPRINT_BYTES:
        raise ValueError("a fingerprint has another length")
    if len(crashes) > MAX_CRASHES_PER_SUSPECT:
        raise ValueError("a suspect has too many crashes")
    return SuspectReport(
        fingerprint=fingerprint,
        weight_by_instance={
            (str(server_id), int(incarnation)): min(1.0, max(0.0, float(weight)))
            for server_id, incarnation, weight in crashes
        },
        age_s=_decode_age_s(age_ms),
        seen_age_s=_decode_age_s(seen_age_ms),
        held_back_age_s=(
            None if held_back_age_ms is None else _decode_age_s(held_back_age_ms)
        ),
        trials=_decode_count(trials),
        cleared=bool(cleared),
    )


def _ms(seconds):
    return round(seconds * 1000)


def _decode_limit_per_s(per_s):
    return min(MAX_PER_S, max(MIN_PER_S, float(per_s)))


def _cold_fields(left_s, sequence):
    return [_ms(left_s), sequence]


def _decode_cold(fields):
    left_ms, sequence = fields
    return _decode_age_s(left_ms), int(sequence)


def _decode_age_s(age_ms):
    return max(0.0, age_ms / 1000)


def _decode_count(count):
    return min(MAX_COUNT, max(0, int(count)))


def _decode_counts(count_by_rank):
    counts = {int(rank): _decode_count(count) for rank, count in count_by_rank.items()}
    return {rank: count for rank, count in counts.items() if count}
