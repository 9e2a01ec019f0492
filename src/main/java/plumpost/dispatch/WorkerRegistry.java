package plumpost.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import plumpost.decision.Dispatcher.ListMode;
import plumpost.decision.Dispatcher.Phase;
import plumpost.decision.Dispatcher.WorkerEntry;

/**
 * The route nodes as their lists gave them, combined with the operators' bans: which nodes may get new attempts, and the
 * entry of each for the module. It does no I/O; the core passes the returned entries to the module.
 */
final class WorkerRegistry {
    /** One listed node, the list that named it, and the number of its outstanding attempts. */
    static final class Node {
        ListedNode listing;
        NodeList source;
        int outstanding;

        boolean isServing() {
            return listing.entry().phase() == Phase.SERVING;
        }
    }

    private final Map<String, Node> nodes = new LinkedHashMap<>();
    private final List<NodeList> lists = new ArrayList<>();
    private final Bans bans = new Bans();

    void add(NodeList list) {
        lists.add(list);
    }

    /** Asks every list to watch its source for changes. */
    void subscribe() {
        lists.forEach(NodeList::watch);
    }

    Node find(String id) {
        return nodes.get(id);
    }

    /** Returns whether a node is listed, serving and not banned. */
    boolean isServing(String id) {
        Node node = nodes.get(id);
        return node != null && node.isServing() && !bans.isBanned(id);
    }

    boolean isBanned(String id) {
        return bans.isBanned(id);
    }

    int listedCount() {
        return nodes.size();
    }

    /** Returns the number of listed nodes that are banned. */
    int countBannedListed() {
        int count = 0;
        for (String id : nodes.keySet()) {
            count += bans.isBanned(id) ? 1 : 0;
        }
        return count;
    }

    /**
     * Applies an update of a list and returns the entries for the module. A complete list replaces only this source's
     * nodes, so the entries of the other sources are repeated in the result; the link of a removed node is closed.
     */
    List<WorkerEntry> applyList(NodeList source, ListMode mode, Collection<ListedNode> lines) {
        List<WorkerEntry> entries = new ArrayList<>();
        if (mode == ListMode.FULL || mode == ListMode.SAVED) {
            Map<String, ListedNode> listedById = new HashMap<>();
            lines.forEach(listing -> listedById.put(listing.entry().id(), listing));
            for (Node node : List.copyOf(nodes.values())) {
                if (node.source != source) {
                    entries.add(effectiveEntry(node.listing.entry()));
                } else if (!listedById.containsKey(node.listing.entry().id())) {
                    drop(node);
                }
            }
        }
        for (ListedNode listing : lines) {
            WorkerEntry entry = listing.entry();
            Node node = nodes.computeIfAbsent(entry.id(), id -> new Node());
            NodeLink previousLink = node.listing == null ? null : node.listing.link();
            node.listing = listing;
            node.source = source;
            if (previousLink != null && previousLink != listing.link()) {
                previousLink.closeIdle();
            }
            if (entry.phase() == Phase.DELETED) {
                drop(node);
            } else {
                bans.recordListed(entry.id());
            }
            entries.add(effectiveEntry(entry));
        }
        return entries;
    }

    private void drop(Node node) {
        nodes.remove(node.listing.entry().id());
        node.listing.link().closeIdle();
    }

    boolean isKnown(String id) {
        return bans.isKnown(id);
    }

    /** Remembers a node that is named outside the lists in use. */
    void remember(String id) {
        bans.recordListed(id);
    }

    Bans.BanResult ban(String id) {
        return bans.ban(id);
    }

    Bans.BanResult unban(String id) {
        return bans.unban(id);
    }

    String bansText() {
        return bans.text();
    }

    /** Replaces the bans by handed-over ones; returns the ids whose state changed. */
    List<String> adopt(String text) {
        return bans.adopt(text);
    }

    /** Returns the entry of a listed node as the module is to see it now, or null if it is not listed. */
    WorkerEntry effectiveEntry(String id) {
        Node node = nodes.get(id);
        return node == null ? null : effectiveEntry(node.listing.entry());
    }

    /** Shows a banned node that its list reports as serving as draining. */
    private WorkerEntry effectiveEntry(WorkerEntry entry) {
        return entry.phase() != Phase.SERVING || !bans.isBanned(entry.id())
                ? entry
                : new WorkerEntry(
                        entry.id(),
                        entry.zone(),
                        entry.kind(),
                        entry.cell(),
                        Phase.DRAINING,
                        entry.units(),
                        entry.cameUpMs(),
                        entry.workKinds(),
                        entry.knownSlots());
    }
}
