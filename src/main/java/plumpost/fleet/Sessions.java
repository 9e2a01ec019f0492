package plumpost.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.TreeMap;
import plumpost.fleet.Entry.Offer;
import plumpost.fleet.Entry.Verdict;

/** The members of the fleet: the latest session of each scheduler, and the data directories that may not join again. */
public final class Sessions {
    /**
     * Maximum number of schedulers known at a time. When a newcomer would exceed it, those that have left or were removed
     * are forgotten; all others stay until an operator removes them.
     */
    static final int MAX_SESSIONS = 1024;
    /**
     * Maximum number of removed data directories that are remembered. The oldest is forgotten first: a thousand removals
     * later its directory is not expected back.
     */
    static final int MAX_REMOVED = 1024;

    /** The states of a session. */
    public enum State {
        /** Its heartbeats arrive in time. */
        ALIVE,
        /** Its heartbeats are late, or its copy of the state lags: it keeps its duties and gets no new ones. */
        SUSPECT,
        /** It is shutting down in order: it has no duties any more and finishes the jobs assigned to it. */
        LEAVING,
        /** Its heartbeats have been missing for too long: the session is over. */
        LOST,
        /** It shut down in order. */
        LEFT,
        /** An operator removed its scheduler. */
        REMOVED
    }

    /** One session of a scheduler, as started by an {@link Entry.Join}. */
    public record Session(
            String name,
            String site,
            String directoryId,
            boolean vote,
            String nonce,
            int maxFormat,
            List<Offer> offers,
            long incarnation,
            State state,
            List<String> functions) {
        /** Whether the session is still running, according to the log. */
        public boolean live() {
            return state == State.ALIVE || state == State.SUSPECT || state == State.LEAVING;
        }

        Session withState(State next) {
            return new Session(name, site, directoryId, vote, nonce, maxFormat, offers, incarnation, next, functions);
        }

        boolean offers(String duty) {
            return offers.stream().anyMatch(o -> o.duty().equals(duty));
        }
    }

    private final TreeMap<String, Session> byName = new TreeMap<>();
    private final LinkedHashSet<String> removedDirectories = new LinkedHashSet<>();
    private long lastIncarnation;
    private int format = 1;

    /** The latest session of every scheduler, by name. */
    public Collection<Session> all() {
        return byName.values();
    }

    /** Returns the latest session of a scheduler, or null. */
    public Session find(String name) {
        return byName.get(name);
    }

    /** Whether this very session is still running, according to the log. */
    public boolean live(String name, long incarnation) {
        Session session = byName.get(name);
        return session != null && session.incarnation == incarnation && session.live();
    }

    /** The newest record format that is read by every scheduler which may still read the log. */
    public int commonFormat() {
        return byName.values().stream()
                .filter(session -> session.state != State.REMOVED && session.state != State.LEFT)
                .mapToInt(Session::maxFormat)
                .min()
                .orElse(format);
    }

    /** The record format that the fleet writes; it is only ever raised. */
    public int format() {
        return format;
    }

    Outcome raise(Entry.Raise command) {
        if (command.format() > commonFormat()) {
            return Outcome.refused(
                    "record format " + command.format() + " is not read by all, " + commonFormat() + " is");
        }
        format = Math.max(format, command.format());
        return Outcome.DONE;
    }

    Outcome join(Entry.Join command, Collection<FleetEvent> events) {
        Session previous = byName.get(command.name());
        if (removedDirectories.contains(command.directoryId())) {
            return Outcome.refused("the data directory of " + command.name()
                    + " was removed from the fleet: it must start with an empty one");
        }
        if (command.maxFormat() < format) {
            return Outcome.refused("the fleet writes record format " + format + ", the program of " + command.name()
                    + " reads 1 to " + command.maxFormat() + ": it is too old");
        }
        if (previous != null && previous.live() && previous.nonce.equals(command.nonce())) {
            return Outcome.done(previous.incarnation);
        }
        if (previous == null && byName.size() >= MAX_SESSIONS && !forgetDeparted()) {
            return Outcome.refused("the fleet has " + MAX_SESSIONS + " schedulers");
        }
        Session session = new Session(
                command.name(),
                command.site(),
                command.directoryId(),
                command.voter(),
                command.nonce(),
                command.maxFormat(),
                List.copyOf(command.offers()),
                ++lastIncarnation,
                State.ALIVE,
                List.of());
        if (previous != null && previous.live()) {
            events.add(new FleetEvent.SessionChanged(previous.withState(State.LOST), previous.state));
        }
        byName.put(session.name, session);
        events.add(new FleetEvent.SessionChanged(session, null));
        return Outcome.done(session.incarnation);
    }

    private boolean forgetDeparted() {
        return byName.values().removeIf(session -> session.state == State.LEFT || session.state == State.REMOVED);
    }

    Outcome judge(Entry.Judge command, long term, Collection<FleetEvent> events) {
        if (command.term() != term) {
            return Outcome.refused("term " + command.term() + " is over");
        }
        if (!live(command.name(), command.incarnation())) {
            return Outcome.refused("no such session");
        }
        if (command.verdict() == Verdict.LOST) {
            changeState(command.name(), State.LOST, events);
        } else if (byName.get(command.name()).state != State.LEAVING) {
            changeState(command.name(), command.verdict() == Verdict.ALIVE ? State.ALIVE : State.SUSPECT, events);
        }
        return Outcome.DONE;
    }

    Outcome leave(Entry.Leave command, Collection<FleetEvent> events) {
        if (live(command.name(), command.incarnation())) {
            changeState(command.name(), command.last() ? State.LEFT : State.LEAVING, events);
        }
        return Outcome.DONE;
    }

    Outcome remove(Entry.Remove command, Collection<FleetEvent> events) {
        Session session = byName.get(command.name());
        if (session == null) {
            return Outcome.refused("no scheduler " + command.name() + " is known");
        }
        if (session.state != State.REMOVED) {
            if (removedDirectories.size() >= MAX_REMOVED) {
                removedDirectories.remove(removedDirectories.iterator().next());
            }
            removedDirectories.add(session.directoryId);
            changeState(command.name(), State.REMOVED, events);
        }
        return Outcome.DONE;
    }

    Outcome serves(Entry.Serves command, Collection<FleetEvent> events) {
        Session previous = byName.get(command.name());
        if (!live(command.name(), command.incarnation())) {
            return Outcome.refused("no such session");
        }
        byName.put(
                previous.name,
                new Session(
                        previous.name,
                        previous.site,
                        previous.directoryId,
                        previous.vote,
                        previous.nonce,
                        previous.maxFormat,
                        previous.offers,
                        previous.incarnation,
                        previous.state,
                        List.copyOf(command.functions())));
        events.add(new FleetEvent.SessionChanged(byName.get(previous.name), previous.state));
        return Outcome.DONE;
    }

    private void changeState(String name, State next, Collection<FleetEvent> events) {
        Session previous = byName.get(name);
        if (previous.state != next) {
            byName.put(name, previous.withState(next));
            events.add(new FleetEvent.SessionChanged(previous.withState(next), previous.state));
        }
    }

    /** The part of a snapshot that holds the sessions. */
    public record Snapshot(List<Session> sessions, List<String> removedDirectories, long lastIncarnation, int format) {}

    Snapshot snapshot() {
        return new Snapshot(
                new ArrayList<>(byName.values()), new ArrayList<>(removedDirectories), lastIncarnation, format);
    }

    static Sessions fromSnapshot(Snapshot snapshot) {
        Sessions restored = new Sessions();
        snapshot.sessions.forEach(session -> restored.byName.put(session.name, session));
        restored.removedDirectories.addAll(snapshot.removedDirectories);
        restored.lastIncarnation = snapshot.lastIncarnation;
        restored.format = snapshot.format;
        return restored;
    }
}
