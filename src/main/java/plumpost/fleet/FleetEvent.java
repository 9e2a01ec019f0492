package plumpost.fleet;

/** A change that an applied entry made to the replicated state; every member sees the same events in the same order. */
public sealed interface FleetEvent {
    /** A session started or changed; {@code previous} is null for a new one. */
    record SessionChanged(Sessions.Session current, Sessions.State previous) implements FleetEvent {}

    /** A duty has another owner, or none, in which case {@code duty.owner()} is empty. */
    record OwnerChanged(Duties.Duty duty, String previousOwner) implements FleetEvent {}

    /** An entry was refused, for instance because of an old fence or an ended session. */
    record EntryRefused(Entry entry, String reason) implements FleetEvent {}

    /** A route node was banned by hand, or its ban was lifted. */
    record BanChanged(String node, boolean banned) implements FleetEvent {}

    /** Discovery reported a node list, or changes to it, for a site. */
    record DiscoveryReported(Entry.Word report) implements FleetEvent {}

    /** An order changed; {@code previous} is null for a new one. */
    record OrderChanged(Orders.Order current, Orders.Order previous) implements FleetEvent {}

    /** A planned job changed; {@code ENDED} is its final state. */
    record JobChanged(PlannedJobs.Job job) implements FleetEvent {}
}
