package plumpost.dispatch;

import plumpost.decision.Dispatcher.WorkerEntry;

/** A line of a node list: what the module is told of a route node, and the link that reaches it. */
public record ListedNode(WorkerEntry entry, NodeLink link) {}
