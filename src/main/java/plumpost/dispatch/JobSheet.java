package plumpost.dispatch;

import java.nio.ByteBuffer;

/**
 * A job as a front hands it in.
 *
 * @param id the job's id, told to the route node unchanged
 * @param cls index of its class
 * @param target path and query in which the front desk asked, or null where its protocol has none
 * @param body what the job works on; neither front nor core changes it while the job is open
 * @param patienceMs how long the client still waits
 * @param costMs rough hint of its cost, or NaN
 * @param slots slots that it takes
 * @param memory memory that it takes, or NaN
 * @param tenant index of the tenant
 * @param key what the job is about, or null
 * @param retry true where the client has marked a retry
 * @param unique key under which a resubmit is the same job, or null
 */
public record JobSheet(String id, int cls, ByteBuffer target, ByteBuffer body, double patienceMs, double costMs,
                       double slots, double memory, int tenant, String key, boolean retry, String unique) { }
