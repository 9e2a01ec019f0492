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
 * The route nodes as their lists told them, with the operators' bans over them: which nodes may get something new,
 * and what the module is to be told of each. No I/O; the core tells the module what this returns.
 */
final class WorkerRegistry {
    /** One listed node, the list that named it, and the attempts out on it. */
    static final class Node {
        ListedNode line;
        NodeList source;
        int out;

        boolean serving() {
            return line.entry().phase() == Phase.SERVING;
        }
    }

    private final Map<String, Node> nodes = new LinkedHashMap<>();
    private final List<NodeList> lists = new ArrayList<>();
    private final Bans bans = new Bans();

    void add(NodeList list) {
        lists.add(list);
    }

    /** Asks every list to watch. */
    void watch() {
        lists.forEach(NodeList::watch);
    }

    Node get(String id) {
        return nodes.get(id);
    }

    /** Listed, serving and not out by hand. */
    boolean serving(String id) {
        Node n = nodes.get(id);
        return n != null && n.serving() && !bans.out(id);
    }

    boolean banned(String id) {
        return bans.out(id);
    }

    int size() {
        return nodes.size();
    }

    /** Listed nodes that are out by hand. */
    int bannedListed() {
        int out = 0;
        for (String id : nodes.keySet()) {
            out += bans.out(id) ? 1 : 0;
        }
        return out;
    }

    /**
     * Takes what a list tells, and returns the lines for the module. A complete list replaces this source's nodes
     * only, and the module hears of the other sources' ones again; a node that is gone has its link left.
     */
    List<WorkerEntry> listed(NodeList source, ListMode mode, Collection<ListedNode> lines) {
        List<WorkerEntry> told = new ArrayList<>();
        if (mode == ListMode.FULL || mode == ListMode.SAVED) {
            Map<String, ListedNode> named = new HashMap<>();
            lines.forEach(l -> named.put(l.entry().id(), l));
            for (Node n : List.copyOf(nodes.values())) {
                if (n.source != source) {
                    told.add(shown(n.line.entry()));
                } else if (!named.containsKey(n.line.entry().id())) {
                    drop(n);
                }
            }
        }
        for (ListedNode l : lines) {
            WorkerEntry e = l.entry();
            Node n = nodes.computeIfAbsent(e.id(), id -> new Node());
            NodeLink old = n.line == null ? null : n.line.link();
            n.line = l;
            n.source = source;
            if (old != null && old != l.link()) {
                old.leave();
            }
            if (e.phase() == Phase.DELETED) {
                drop(n);
            } else {
                bans.saw(e.id());
            }
            told.add(shown(e));
        }
        return told;
    }

    private void drop(Node n) {
        nodes.remove(n.line.entry().id());
        n.line.link().leave();
    }

    boolean known(String id) {
        return bans.known(id);
    }

    /** Others have had the node listed. */
    void knows(String id) {
        bans.saw(id);
    }

    Bans.Said ban(String id) {
        return bans.ban(id);
    }

    Bans.Said lift(String id) {
        return bans.lift(id);
    }

    String bansText() {
        return bans.text();
    }

    /** Takes over handed-over bans; returns the ids whose state changed. */
    List<String> adopt(String text) {
        return bans.adopt(text);
    }

    /** The line of a listed node as the module is to see it now, or null where it is not listed. */
    WorkerEntry shown(String id) {
        Node n = nodes.get(id);
        return n == null ? null : shown(n.line.entry());
    }

    /** A node out by hand drains, whatever its list says. */
    private WorkerEntry shown(WorkerEntry e) {
        return e.phase() != Phase.SERVING || !bans.out(e.id())
                ? e
                : new WorkerEntry(
                        e.id(),
                        e.zone(),
                        e.kind(),
                        e.cell(),
                        Phase.DRAINING,
                        e.units(),
                        e.cameUpMs(),
                        e.runs(),
                        e.places());
    }
}
