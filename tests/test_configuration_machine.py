from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from sequoiachute import clock
from sequoiachute.protocol.records import CONFIGURATION_STREAM, decode_record
from sequoiachute.state.configuration import Configuration
from soak import histories
from standins.paused import install_paused_clock
from standins.site import (
    DATA_CENTRES,
    Site,
    agent_address,
    create_catalogue,
    entry_address,
)

ENTRIES = 3
AGENTS = 2
PROPAGATION_SECONDS = 4.0  # bound until a change is in force everywhere
ACCOUNT = {"owner": "Brocach", "job_class": "batch"}


class ConfigurationMachine(RuleBasedStateMachine):
    """Concurrent changes while log links and the network fail for some processes."""

    def __init__(self):
        super().__init__()
        install_paused_clock()
        self.site = Site(workers=AGENTS, entries=ENTRIES)
        self.reference = Configuration()
        self.changes = []  # (clock time of the append, offset)
        self.offsets = {}  # every offset seen, by process index
        self.states = []  # (offset, state) of every process
        self._record_changes()
        self.site.publish(create_catalogue(brocach=ACCOUNT))
        clock.sleep(5)

    def _record_changes(self):
        log = self.site.log
        put = log.put

        def recording_put(stream, records):
            first_offset = put(stream, records)
            for index, data in enumerate(records):
                if stream != CONFIGURATION_STREAM:
                    continue
                if self.reference.apply(first_offset + index, decode_record(data)):
                    self.changes.append((clock.now(), first_offset + index))
            return first_offset

        log.put = recording_put

    @property
    def processes(self):
        return [*self.site.entries, *self.site.agents]

    @rule(entry=st.integers(0, ENTRIES - 1), publishers=st.integers(1, 3))
    def publish(self, entry, publishers):
        base = self.site.entries[entry].configuration.catalogue_offset
        for index in range(publishers):
            account = {**ACCOUNT, "weight": float(len(self.changes) + index)}
            self.site.publish(create_catalogue(brocach=account), base)

    @rule(data_centre=st.sampled_from(DATA_CENTRES), in_service=st.booleans())
    def switch(self, data_centre, in_service):
        self.site.switch(data_centre, in_service)

    @rule(
        entry=st.integers(0, ENTRIES - 1),
        fault=st.sampled_from(["cut", "reads_fail", "lose_replies"]),
    )
    def break_link(self, entry, fault):
        setattr(self.site.log_links[entry], fault, True)

    @rule(entry=st.integers(0, ENTRIES - 1), delay=st.sampled_from([0.5, 2.0]))
    def slow_link(self, entry, delay):
        self.site.log_links[entry].delay = delay

    @rule(entry=st.integers(0, ENTRIES - 1), agent=st.integers(0, AGENTS - 1))
    def cut_agent(self, entry, agent):
        self.site.network.cut.add((agent_address(agent), entry_address(entry)))

    @rule(entry=st.integers(0, ENTRIES - 1))
    def replace_entry(self, entry):
        self.site.replace_entry(entry)
        self.offsets.pop(entry, None)

    @rule(seconds=st.sampled_from([0.01, 0.3, 2.0, 20.0]))
    def advance(self, seconds):
        clock.sleep(seconds)

    @rule(entry=st.integers(0, ENTRIES - 1))
    def one_entry_reaches_the_log(self, entry):
        self.site.network.cut.clear()
        for link in self.site.log_links.values():
            link.cut = True
        self._heal_link(entry)
        clock.sleep(PROPAGATION_SECONDS)
        for process in self.processes:
            assert process.configuration.state == self.reference.state
            assert process.configuration.age(clock.now()) < 3.0

    def _heal_link(self, entry):
        link = self.site.log_links[entry]
        link.cut = link.reads_fail = link.lose_replies = False
        link.delay = 0.0

    @invariant()
    def never_reverts(self):
        for index, process in enumerate(self.processes):
            offsets = self.offsets.setdefault(index, [])
            offsets.append(process.configuration.offset)
            assert not histories.backward_steps(offsets)
            state = process.configuration.state
            self.states.append((state.offset, state))
        assert not histories.divergent_views(self.states)

    @invariant()
    def confirmed_configuration_holds_every_earlier_change(self):
        for process in self.processes:
            confirmed_at = process.configuration.confirmed_at
            earlier = [o for at, o in self.changes if at < confirmed_at]
            assert process.configuration.offset >= max(earlier, default=-1)


def test_configuration_machine():
    run_state_machine_as_test(
        ConfigurationMachine,
        settings=settings(max_examples=25, stateful_step_count=25),
    )
