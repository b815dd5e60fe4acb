"""Tests of the fair queue: order, fair shares, deadlines and refusals."""

import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from cassiaford.policy import Ticket, create_fair_queue
from cassiaford.policy._class_queue import QUANTUM_TOKENS
from cassiaford.policy._fair_queue import MAX_SKIPPED_S, SERVICE_CLASSES
from cassiaford.verdict import RefusalReason, Verdict

MAX_TOKENS = 40_000


def ticket(name, customer="a", service_class="standard", tokens=1000, deadline=1e9):
    return Ticket(str(name), customer, service_class, tokens, deadline)


def always(ticket):
    return True


def never(ticket):
    return False


class FairQueueTest(unittest.TestCase):
    def setUp(self):
        self.queue = create_fair_queue(length=1000)

    def offer(self, *tickets, now=0.0):
        return [self.queue.offer(ticket, now) for ticket in tickets]

    def take_all(self, now=0.0, may_dispatch=always):
        taken = []
        while (ticket := self.queue.take(now, may_dispatch)) is not None:
            taken.append(ticket)
        return taken

    def drain(self, rate, until, step=0.1):
        """Dispatch at a rate in tokens a second, like servers at capacity."""
        now, budget = 0.0, 0.0
        while now < until:
            self.queue.take(now, never)
            now += step
            budget += rate * step
            while budget > 0 and (taken := self.queue.take(now, always)):
                budget -= taken.tokens
        return now

    def test_quick_check_goes_before_long_work_of_everyone(self):
        self.offer(*(ticket(n, "a", "batch", 30_000) for n in range(50)))
        self.offer(*(ticket(n, "b", "standard", 30_000) for n in range(50, 100)))
        self.offer(ticket("check", "c", "interactive", 500))
        self.assertEqual(self.queue.take(0.1, always).request_id, "check")

    def test_customers_share_by_tokens_and_not_by_requests(self):
        self.offer(*(ticket(n, "long", tokens=20_000) for n in range(100)))
        self.offer(*(ticket(n, "short", tokens=1000) for n in range(100, 900)))
        sent = Counter()
        for _ in range(400):
            taken = self.queue.take(0.0, always)
            sent[taken.customer] += taken.tokens
        self.assertLess(abs(sent["long"] - sent["short"]), 2 * MAX_TOKENS)

    def test_batch_is_not_starved_by_a_flood_of_checks(self):
        self.offer(ticket("digest", "a", "batch", 30_000))
        last = 0.0
        for number in range(200):
            last = number * 0.1
            self.offer(ticket(number, "b", "interactive", 500), now=last)
            if self.queue.take(last, always).request_id == "digest":
                break
        self.assertAlmostEqual(last, MAX_SKIPPED_S["batch"], delta=0.2)

    def test_blocked_request_does_not_block_other_customers(self):
        self.offer(ticket("blocked", "a"), ticket("free", "b"))
        taken = self.take_all(may_dispatch=lambda t: t.customer == "b")
        self.assertEqual([ticket.request_id for ticket in taken], ["free"])
        self.assertEqual(len(self.queue), 1)

    def test_request_that_cannot_meet_its_deadline_is_refused_at_once(self):
        self.offer(*(ticket(n, tokens=1000) for n in range(100)))
        now = self.drain(rate=10_000, until=3.0)
        refusal, accepted = self.offer(
            ticket("late", deadline=now + 2.0),
            ticket("in time", deadline=now + 60.0),
            now=now,
        )
        self.assertIs(refusal.reason, RefusalReason.DEADLINE)
        self.assertIs(refusal.verdict, Verdict.NOT_RUN)
        self.assertAlmostEqual(refusal.retry_after_s, 7.0, delta=1.0)
        self.assertIsNone(accepted)

    def test_empty_queue_refuses_nothing_after_a_slow_time(self):
        self.offer(*(ticket(n) for n in range(20)))
        self.drain(rate=100, until=5.0)
        self.take_all(5.0)
        refusals = self.offer(ticket("next", deadline=7.0), now=6.0)
        self.assertEqual(refusals, [None])

    def test_full_queue_refuses_only_the_customer_that_filled_it(self):
        queue = create_fair_queue(length=2)
        for number in range(2):
            self.assertIsNone(queue.offer(ticket(number), 0.0))
        refusal = queue.offer(ticket(2), 0.0)
        self.assertIs(refusal.reason, RefusalReason.QUEUE_FULL)
        self.assertGreater(refusal.retry_after_s, 0)
        self.assertIsNone(queue.offer(ticket(3, "b"), 0.0))
        self.assertIsNone(queue.offer(ticket(4, "a", "batch"), 0.0))

    def test_expired_requests_are_never_taken_and_reported_once(self):
        self.offer(ticket("old", deadline=1.0), ticket("new", deadline=9.0))
        self.assertEqual(self.queue.take(1.0, always).request_id, "new")
        self.assertEqual([t.request_id for t in self.queue.expire(1.1)], ["old"])
        self.assertEqual(self.queue.expire(1.2), ())

    def test_invalid_tickets_raise_value_error(self):
        self.offer(ticket("x"))
        with self.assertRaises(ValueError):
            self.offer(ticket("x"))
        with self.assertRaises(ValueError):
            self.offer(ticket("y", service_class="urgent"))

    def test_customer_at_five_times_its_rate_does_not_delay_another(self):
        waits = []
        now, number, budget = 0.0, 0, 0.0
        offered = {}
        # Each customer's share is 2,000 tokens a second; "greedy" offers 10,000.
        while now < 60.0:
            for customer, every in (("greedy", 1), ("modest", 5)):
                if number % every == 0:
                    name = f"{customer}{number}"
                    offered[name] = now
                    self.offer(ticket(name, customer, tokens=1000), now=now)
            self.queue.take(now, never)
            budget += 4000 * 0.1
            while budget > 0 and (taken := self.queue.take(now, always)):
                budget -= taken.tokens
                if taken.customer == "modest":
                    waits.append(now - offered[taken.request_id])
            number += 1
            now += 0.1
        self.assertGreater(len(waits), 110)
        self.assertLess(max(waits), 10.0)

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(st.data())
    def test_every_request_comes_out_exactly_once(self, data):
        queue = create_fair_queue(length=3)
        waiting, now = set(), 0.0
        kinds = st.sampled_from(["offer", "offer", "take", "blocked", "expire", "drop"])
        for number in range(data.draw(st.integers(1, 60))):
            now += data.draw(st.floats(0.0, 1.0))
            kind = data.draw(kinds)
            if kind == "offer":
                new = ticket(
                    number,
                    data.draw(st.sampled_from("abc")),
                    data.draw(st.sampled_from(SERVICE_CLASSES)),
                    data.draw(st.integers(1, MAX_TOKENS)),
                    now + data.draw(st.floats(0.1, 5.0)),
                )
                refusal = queue.offer(new, now)
                if refusal is None:
                    waiting.add(new)
                else:
                    self.assertIs(refusal.verdict, Verdict.NOT_RUN)
                    self.assertGreater(refusal.retry_after_s, 0)
            elif kind in ("take", "blocked"):
                may = always if kind == "take" else lambda t: t.customer == "a"
                taken = queue.take(now, may)
                if taken is not None:
                    self.assertGreater(taken.deadline, now)
                    self.assertTrue(may(taken))
                    waiting.remove(taken)
            elif kind == "expire":
                for expired in queue.expire(now):
                    self.assertLessEqual(expired.deadline, now)
                    waiting.remove(expired)
            elif waiting:
                dropped = data.draw(st.sampled_from(sorted(waiting, key=str)))
                if dropped.deadline > now:
                    queue.discard(dropped.request_id)
                    waiting.remove(dropped)
        overdue = set(queue.expire(now))
        self.assertEqual(len(queue), len(waiting - overdue))
        while (taken := queue.take(now, always)) is not None:
            waiting.remove(taken)
        self.assertEqual(waiting, overdue)

    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(st.lists(st.integers(1, MAX_TOKENS), min_size=40, max_size=80), st.data())
    def test_backlogged_customers_never_drift_apart(self, sizes, data):
        queue = create_fair_queue(length=1000)
        customers = data.draw(st.sampled_from(["ab", "abc", "abcd"]))
        for number, tokens in enumerate(sizes):
            customer = customers[number % len(customers)]
            queue.offer(ticket(number, customer, tokens=tokens), 0.0)
        waiting_counts = Counter(
            customers[n % len(customers)] for n in range(len(sizes))
        )
        sent = Counter(dict.fromkeys(customers, 0))
        while all(waiting_counts.values()):
            taken = queue.take(0.0, always)
            waiting_counts[taken.customer] -= 1
            sent[taken.customer] += taken.tokens
            spread = max(sent.values()) - min(sent.values())
            self.assertLessEqual(spread, QUANTUM_TOKENS + 2 * MAX_TOKENS)


if __name__ == "__main__":
    unittest.main()
