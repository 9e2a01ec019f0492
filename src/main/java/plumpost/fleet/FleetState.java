package plumpost.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;
import java.util.TreeSet;
import plumpost.fleet.Sessions.Session;

/**
 * The replicated state of the fleet: a deterministic state machine over the log's entries, without I/O and without a
 * clock. Equal entries in equal order give equal states everywhere. Whether an action on behalf of the fleet is valid is
 * decided here when its entry is applied, by its fence and by the session that proposed it, never by a clock.
 */
public final class FleetState {
    /** The duty whose owner starts planned jobs. */
    public static final String SCHEDULE = "schedule";
    /** The duty whose owner gives orders up and forgets them. */
    public static final String LEDGER = "ledger";
    /** Prefix of the duties whose owners query discovery; the name of the site follows. */
    public static final String DISCOVERY = "discovery/";
    /** Maximum number of route nodes that are banned by hand at a time. */
    static final int MAX_BANS = 8192;
    /** Maximum number of changes kept after a whole node list; after that the owner must send the whole list again. */
    static final int MAX_LIST_CHANGES = 64;

    private Sessions sessions = new Sessions();
    private Duties duties = new Duties();
    private PlannedJobs plannedJobs = new PlannedJobs();
    private Orders orders = new Orders();
    private final TreeSet<String> bans = new TreeSet<>();
    /** By duty, the latest whole node list and the changes reported since. */
    private final TreeMap<String, List<Entry.Word>> discoveryReports = new TreeMap<>();

    /** Applies an entry of a term of the log and adds what it changed to {@code events}. */
    public Outcome apply(Entry entry, long term, Collection<FleetEvent> events) {
        List<FleetEvent> newEvents = new ArrayList<>();
        Outcome outcome = applyEntry(entry, term, newEvents);
        events.addAll(newEvents);
        newEvents.forEach(event -> keepKeyOfEndedJob(event, events));
        if (!outcome.done()) {
            events.add(new FleetEvent.EntryRefused(entry, outcome.detail()));
        }
        return outcome;
    }

    private Outcome applyEntry(Entry entry, long term, Collection<FleetEvent> events) {
        if (entry instanceof Entry.Join join) {
            Session previous = sessions.find(join.name());
            Outcome outcome = sessions.join(join, events);
            if (outcome.done()) {
                duties.addOffered(join.offers());
                if (previous != null && previous.incarnation() != outcome.number()) {
                    plannedJobs.sessionLost(previous.name(), previous.incarnation(), events);
                    orders.sessionLost(previous.name(), previous.incarnation(), events);
                }
                duties.reassign(sessions, events);
            }
            return outcome;
        } else if (entry instanceof Entry.Judge judge) {
            return afterMembershipChange(judge.name(), sessions.judge(judge, term, events), events);
        } else if (entry instanceof Entry.Leave leave) {
            return afterMembershipChange(leave.name(), sessions.leave(leave, events), events);
        } else if (entry instanceof Entry.Remove command) {
            return afterMembershipChange(command.name(), sessions.remove(command, events), events);
        } else if (entry instanceof Entry.Serves command) {
            return sessions.serves(command, events);
        } else if (entry instanceof Entry.Raise command) {
            return sessions.raise(command);
        } else if (entry instanceof Entry.Yield yielded) {
            return duties.yield(yielded, sessions, events);
        } else if (entry instanceof Entry.Ban ban) {
            return applyBan(ban, events);
        } else if (entry instanceof Entry.Word report) {
            return applyDiscoveryReport(report, events);
        } else if (entry instanceof Entry.Plan plan) {
            Orders.Order order = plan.unique().isEmpty() ? null : orders.findByKey(plan.function(), plan.unique());
            return order == null || sessions.format() < FleetCodec.FORMAT_WITH_START_TIMES
                    ? plannedJobs.plan(plan, events)
                    : new Outcome(true, 0, order.id());
        } else if (entry instanceof Entry.Fire fire) {
            return plannedJobs.fire(fire, duties.fenceError(SCHEDULE, fire.fence()), sessions, events);
        } else if (entry instanceof Entry.Begin begin) {
            return plannedJobs.begin(begin, sessions, events);
        } else if (entry instanceof Entry.End end) {
            return plannedJobs.end(end, events);
        } else if (entry instanceof Entry.CallOff command) {
            return plannedJobs.callOff(command, events);
        } else if (entry instanceof Entry.Take command) {
            PlannedJobs.Job planned = findPlanned(command.function(), command.unique());
            return planned == null ? orders.take(command, sessions, events) : new Outcome(true, 0, planned.id());
        } else if (entry instanceof Entry.TakeScheduled command) {
            PlannedJobs.Job planned = findPlanned(command.function(), command.unique());
            return planned == null ? orders.take(command, sessions, events) : new Outcome(true, 0, planned.id());
        } else if (entry instanceof Entry.Told command) {
            return orders.applyEvent(command, sessions, events);
        } else if (entry instanceof Entry.Claim command) {
            return orders.claim(command, sessions, events);
        } else if (entry instanceof Entry.Release command) {
            return orders.release(command, events);
        } else {
            Entry.Settle command = (Entry.Settle) entry;
            String refusal = duties.fenceError(LEDGER, command.fence());
            return refusal == null ? orders.settle(command, events) : Outcome.refused(refusal);
        }
    }

    /**
     * Keeps the key of a planned job that may have run and must not run twice: submitted again, it is known to the ledger. Where
     * no member has a ledger, nobody would ever forget it.
     */
    private void keepKeyOfEndedJob(FleetEvent event, Collection<FleetEvent> events) {
        if (event instanceof FleetEvent.JobChanged changed
                && changed.job().state() == PlannedJobs.State.ENDED
                && !changed.job().target().isEmpty() // it was begun, and not called off while it waited
                && !changed.job().repeatable()
                && !changed.job().unique().isEmpty()
                && sessions.format() >= FleetCodec.FORMAT_WITH_START_TIMES
                && duties.find(LEDGER) != null) {
            orders.keepEnded(changed.job(), events);
        }
    }

    /**
     * Returns the job of a covered class that was planned under a key before the fleet wrote record format 2, or null. Since
     * then such orders are in the ledger, and each key in one place.
     */
    private PlannedJobs.Job findPlanned(String function, String unique) {
        return unique.isEmpty() || sessions.format() < FleetCodec.FORMAT_WITH_START_TIMES
                ? null
                : plannedJobs.findByKey(function, unique);
    }

    private Outcome afterMembershipChange(String name, Outcome outcome, Collection<FleetEvent> events) {
        Session session = sessions.find(name);
        if (outcome.done() && session != null) {
            if (!session.live()) {
                plannedJobs.sessionLost(name, session.incarnation(), events);
                orders.sessionLost(name, session.incarnation(), events);
            } else if (session.state() == Sessions.State.LEAVING) {
                orders.sessionLeaving(name, session.incarnation(), events);
            }
            duties.reassign(sessions, events);
        }
        return outcome;
    }

    private Outcome applyBan(Entry.Ban ban, Collection<FleetEvent> events) {
        if (ban.banned() && bans.size() >= MAX_BANS && !bans.contains(ban.node())) {
            return Outcome.refused(MAX_BANS + " route nodes are out by hand already");
        }
        if (ban.banned() ? bans.add(ban.node()) : bans.remove(ban.node())) {
            events.add(new FleetEvent.BanChanged(ban.node(), ban.banned()));
        }
        return Outcome.DONE;
    }

    private Outcome applyDiscoveryReport(Entry.Word report, Collection<FleetEvent> events) {
        String refusal = duties.fenceError(report.duty(), report.fence());
        if (refusal != null) {
            return Outcome.refused(refusal);
        }
        List<Entry.Word> reports = discoveryReports.computeIfAbsent(report.duty(), duty -> new ArrayList<>());
        if (report.whole()) {
            reports.clear();
        } else if (reports.isEmpty() || reports.size() > MAX_LIST_CHANGES) {
            return Outcome.refused("the whole list of " + report.duty() + " is to be told before this change");
        }
        if (report.whole() || !report.text().isEmpty()) {
            reports.add(report);
        }
        events.add(new FleetEvent.DiscoveryReported(report));
        return Outcome.DONE;
    }

    /** The members of the fleet and their sessions. */
    public Sessions sessions() {
        return sessions;
    }

    /** The duties and their owners. */
    public Duties duties() {
        return duties;
    }

    /** The planned jobs that are not over. */
    public PlannedJobs plannedJobs() {
        return plannedJobs;
    }

    /** The covered orders. */
    public Orders orders() {
        return orders;
    }

    /** The route nodes that are banned by hand. */
    public Collection<String> bans() {
        return bans;
    }

    /** The discovery reports of a duty: a whole list and the changes since; empty before the first report. */
    public List<Entry.Word> discoveryReports(String duty) {
        return List.copyOf(discoveryReports.getOrDefault(duty, List.of()));
    }

    /** The content of a snapshot. The order and the types of the components are stored. */
    public record Snapshot(
            Sessions.Snapshot sessions,
            Duties.Snapshot duties,
            PlannedJobs.Snapshot plannedJobs,
            List<String> bans,
            List<Entry.Word> discoveryReports,
            Orders.Snapshot orders) {}

    /** Returns a copy of the state for a snapshot. */
    public Snapshot snapshot() {
        List<Entry.Word> reports = new ArrayList<>();
        discoveryReports.values().forEach(reports::addAll);
        return new Snapshot(
                sessions.snapshot(),
                duties.snapshot(),
                plannedJobs.snapshot(),
                new ArrayList<>(bans),
                reports,
                orders.snapshot());
    }

    /** Replaces this state by the content of a snapshot. */
    public void restore(Snapshot snapshot) {
        sessions = Sessions.fromSnapshot(snapshot.sessions);
        duties = Duties.fromSnapshot(snapshot.duties);
        plannedJobs = PlannedJobs.fromSnapshot(snapshot.plannedJobs);
        orders = Orders.fromSnapshot(snapshot.orders);
        bans.clear();
        bans.addAll(snapshot.bans);
        discoveryReports.clear();
        snapshot.discoveryReports.forEach(report -> discoveryReports
                .computeIfAbsent(report.duty(), duty -> new ArrayList<>())
                .add(report));
    }
}
