package plumpost.fleet;

/** What an applied entry changed, told to whoever acts on it; the same everywhere and in the same order. */
public sealed interface News {
    /** A scheduler's life began or changed; {@code former} is null for a new one. */
    record Changed(Sessions.Session now, Sessions.State former) implements News {}

    /** A duty has another owner, or none ({@code duty.owner()} empty). */
    record Owned(Duties.Duty duty, String former) implements News {}

    /** An entry under an old fence, or of a life that is over, was refused. */
    record Refused(Entry entry, String why) implements News {}

    /** A route node went out by hand or was called back. */
    record Banned(String node, boolean out) implements News {}

    /** Discovery's word for a site. */
    record Told(Entry.Word word) implements News {}

    /** An order changed; {@code former} is null for a new one. */
    record Ordered(Orders.Order now, Orders.Order former) implements News {}

    /** A planned job changed; the state {@code ENDED} is its last word. */
    record Planned(Plans.Job job) implements News {}
}
