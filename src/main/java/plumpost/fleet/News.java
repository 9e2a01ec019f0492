package plumpost.fleet;

/** What an applied entry changed, told to whoever acts on it; the same everywhere and in the same order. */
public sealed interface News {
    /** A scheduler's life began or changed; {@code former} is null for a new one. */
    record SessionChanged(Sessions.Session current, Sessions.State previous) implements News {}

    /** A duty has another owner, or none ({@code duty.owner()} empty). */
    record OwnerChanged(Duties.Duty duty, String previousOwner) implements News {}

    /** An entry under an old fence, or of a life that is over, was refused. */
    record EntryRefused(Entry entry, String reason) implements News {}

    /** A route node went out by hand or was called back. */
    record BanChanged(String node, boolean banned) implements News {}

    /** Discovery's word for a site. */
    record DiscoveryReported(Entry.Word report) implements News {}

    /** An order changed; {@code former} is null for a new one. */
    record OrderChanged(Orders.Order current, Orders.Order previous) implements News {}

    /** A planned job changed; the state {@code ENDED} is its last word. */
    record JobChanged(Plans.Job job) implements News {}
}
