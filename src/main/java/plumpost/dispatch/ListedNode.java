package plumpost.dispatch;

import plumpost.decision.Dispatcher.WorkerEntry;

/** A line of a node list: the entry of a route node for the decision module, and the link to the node. */
public record ListedNode(WorkerEntry entry, NodeLink link) {}
