/*
 * Injects faults of the operating system into one process under test; loaded with LD_PRELOAD.
 *
 * The controlling process maps the file named by FAULT_CONTROL and writes the fields of struct control; the process under
 * test reads them at each call. Only calls that Linux documents as able to fail are made to fail, with documented errors.
 * Network faults and pauses affect only threads that have called epoll_wait: event loops, not the JVM's own threads.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#define NANOS_PER_SECOND 1000000000LL
#define MILLION 1000000U

/* All fields are 64-bit words in the machine's byte order; FaultLibrary.java lists them in the same order. */
struct control {
    int64_t wall_step_ns;          /* added to CLOCK_REALTIME */
    int64_t holdup_ns;             /* length of the pause of an event loop after it reads its clock ... */
    int64_t holdup_gap_ns;         /* ... and least time from its end to the next pause */
    int64_t call_failures;         /* network calls that fail or are cut short, per million */
    int64_t connection_failures;   /* reads and writes that break their connection, per million */
    int64_t disk_error;            /* errno of failing writes, syncs and renames below FAULT_DIRECTORY, or 0 */
    int64_t disk_failures;         /* of those calls, how many fail per million */
    int64_t disk_bytes;            /* bytes that may still be written below it, the last write cut short, then ENOSPC; -1 for no limit */
    volatile int64_t injected;     /* calls that were made to fail so far */
    volatile int64_t held_up;      /* pauses so far */
    int64_t accept_failures;       /* accept calls that fail in addition to call_failures, per million */
};

static struct control inactive;
static struct control *control = &inactive;
static const char *directory;
static __thread int is_event_loop;
static __thread uint32_t random_state;
static __thread int64_t paused_at_ns;

static int (*real_clock_gettime)(clockid_t, struct timespec *);
static int (*real_gettimeofday)(struct timeval *, void *);
static int (*real_accept)(int, struct sockaddr *, socklen_t *);
static int (*real_accept4)(int, struct sockaddr *, socklen_t *, int);
static int (*real_socket)(int, int, int);
static int (*real_connect)(int, const struct sockaddr *, socklen_t);
static int (*real_epoll_wait)(int, struct epoll_event *, int, int);
static ssize_t (*real_read)(int, void *, size_t);
static ssize_t (*real_write)(int, const void *, size_t);
static ssize_t (*real_writev)(int, const struct iovec *, int);
static ssize_t (*real_pwrite64)(int, const void *, size_t, off64_t);
static int (*real_fsync)(int);
static int (*real_fdatasync)(int);
static int (*real_rename)(const char *, const char *);
static int (*real_close)(int);

__attribute__((constructor)) static void initialize(void) {
    inactive.disk_bytes = -1;
    real_clock_gettime = dlsym(RTLD_NEXT, "clock_gettime");
    real_gettimeofday = dlsym(RTLD_NEXT, "gettimeofday");
    real_accept = dlsym(RTLD_NEXT, "accept");
    real_accept4 = dlsym(RTLD_NEXT, "accept4");
    real_socket = dlsym(RTLD_NEXT, "socket");
    real_connect = dlsym(RTLD_NEXT, "connect");
    real_epoll_wait = dlsym(RTLD_NEXT, "epoll_wait");
    real_read = dlsym(RTLD_NEXT, "read");
    real_write = dlsym(RTLD_NEXT, "write");
    real_writev = dlsym(RTLD_NEXT, "writev");
    real_pwrite64 = dlsym(RTLD_NEXT, "pwrite64");
    real_fsync = dlsym(RTLD_NEXT, "fsync");
    real_fdatasync = dlsym(RTLD_NEXT, "fdatasync");
    real_rename = dlsym(RTLD_NEXT, "rename");
    real_close = dlsym(RTLD_NEXT, "close");
    directory = getenv("FAULT_DIRECTORY");
    const char *path = getenv("FAULT_CONTROL");
    int file = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
    if (file >= 0) {
        void *mapped = mmap(NULL, sizeof(struct control), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
        if (mapped != MAP_FAILED) {
            control = mapped;
        }
        real_close(file);
    }
}

/* xorshift with one state per thread, so that no lock synchronizes the threads of the process under test. */
static uint32_t next_random(void) {
    if (random_state == 0) {
        random_state = (uint32_t) (uintptr_t) &random_state ^ (uint32_t) getpid() * 2654435761U;
        random_state |= 1;
    }
    random_state ^= random_state << 13;
    random_state ^= random_state >> 17;
    random_state ^= random_state << 5;
    return random_state;
}

static int should_fail(int64_t per_million) {
    if (per_million <= 0 || next_random() % MILLION >= (uint64_t) per_million) {
        return 0;
    }
    __atomic_add_fetch(&control->injected, 1, __ATOMIC_RELAXED);
    return 1;
}

static int fail_with_one_of(const int *errors, int count) {
    errno = errors[next_random() % (uint32_t) count];
    return -1;
}

static int is_socket(int fd) {
    int type;
    socklen_t length = sizeof type;
    return getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &length) == 0;
}

/* ---- clocks ---- */

static void maybe_pause(const struct timespec *now) {
    int64_t at = (int64_t) now->tv_sec * NANOS_PER_SECOND + now->tv_nsec;
    int64_t length = control->holdup_ns;
    if (!is_event_loop || length <= 0 || at - paused_at_ns < length + control->holdup_gap_ns) {
        return;
    }
    paused_at_ns = at;
    __atomic_add_fetch(&control->held_up, 1, __ATOMIC_RELAXED);
    struct timespec rest = {length / NANOS_PER_SECOND, length % NANOS_PER_SECOND};
    while (nanosleep(&rest, &rest) != 0 && errno == EINTR) {
    }
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    int result = real_clock_gettime(clock, now);
    if (result == 0 && clock == CLOCK_REALTIME) {
        int64_t stepped = (int64_t) now->tv_sec * NANOS_PER_SECOND + now->tv_nsec + control->wall_step_ns;
        now->tv_sec = stepped / NANOS_PER_SECOND;
        now->tv_nsec = stepped % NANOS_PER_SECOND;
    } else if (result == 0 && clock == CLOCK_MONOTONIC) {
        maybe_pause(now); /* the caller gets a time that is stale by the length of the pause */
    }
    return result;
}

int gettimeofday(struct timeval *now, void *zone) {
    int result = real_gettimeofday(now, zone);
    if (result == 0 && now != NULL) {
        now->tv_sec += control->wall_step_ns / NANOS_PER_SECOND;
    }
    return result;
}

/* ---- the network ---- */

static const int ACCEPT_ERRORS[] = {ECONNABORTED, EMFILE, ENFILE, ENOBUFS, ENOMEM, EPROTO, EPERM, EINTR};
static const int SOCKET_ERRORS[] = {EMFILE, ENFILE, ENOBUFS, ENOMEM};
static const int CONNECT_ERRORS[] = {EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ETIMEDOUT, ECONNREFUSED};
static const int CONNECTION_ERRORS[] = {ETIMEDOUT, EHOSTUNREACH, ECONNRESET, EPIPE, ENETUNREACH};
#define COUNT(errors) ((int) (sizeof(errors) / sizeof((errors)[0])))

static int accept_should_fail(void) {
    return is_event_loop && (should_fail(control->call_failures) || should_fail(control->accept_failures));
}

int accept(int fd, struct sockaddr *peer, socklen_t *length) {
    if (accept_should_fail()) {
        return fail_with_one_of(ACCEPT_ERRORS, COUNT(ACCEPT_ERRORS));
    }
    return real_accept(fd, peer, length);
}

int accept4(int fd, struct sockaddr *peer, socklen_t *length, int flags) {
    if (accept_should_fail()) {
        return fail_with_one_of(ACCEPT_ERRORS, COUNT(ACCEPT_ERRORS));
    }
    return real_accept4(fd, peer, length, flags);
}

int socket(int domain, int type, int protocol) {
    if (is_event_loop && should_fail(control->call_failures)) {
        return fail_with_one_of(SOCKET_ERRORS, COUNT(SOCKET_ERRORS));
    }
    return real_socket(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *to, socklen_t length) {
    if (is_event_loop && should_fail(control->call_failures)) {
        return fail_with_one_of(CONNECT_ERRORS, COUNT(CONNECT_ERRORS));
    }
    return real_connect(fd, to, length);
}

int epoll_wait(int fd, struct epoll_event *events, int max_events, int timeout) {
    is_event_loop = 1;
    if (should_fail(control->call_failures)) {
        errno = EINTR;
        return -1;
    }
    return real_epoll_wait(fd, events, max_events, timeout);
}

/* Returns 1 if the call is to fail, with errno set; 0 if it proceeds, with *length possibly reduced to one byte. */
static int inject_network_fault(int fd, size_t *length) {
    if (!is_event_loop || (control->call_failures <= 0 && control->connection_failures <= 0) || !is_socket(fd)) {
        return 0;
    }
    if (should_fail(control->connection_failures)) {
        fail_with_one_of(CONNECTION_ERRORS, COUNT(CONNECTION_ERRORS));
        shutdown(fd, SHUT_RDWR); /* later calls on this connection fail too */
        return 1;
    }
    if (should_fail(control->call_failures)) {
        if (next_random() & 1) {
            errno = next_random() & 1 ? EINTR : EAGAIN;
            return 1;
        }
        *length = *length > 1 ? 1 : *length;
    }
    return 0;
}

/* ---- the disk ---- */

static int below_directory(int fd) {
    char link[64];
    char path[4096];
    if (directory == NULL) {
        return 0;
    }
    snprintf(link, sizeof link, "/proc/self/fd/%d", fd);
    ssize_t length = readlink(link, path, sizeof path - 1);
    if (length <= 0) {
        return 0;
    }
    path[length] = 0;
    return strncmp(path, directory, strlen(directory)) == 0;
}

static int inject_disk_fault(int fd) {
    if (control->disk_error == 0 || !below_directory(fd) || !should_fail(control->disk_failures)) {
        return 0;
    }
    errno = (int) control->disk_error;
    return 1;
}

/* Returns how many bytes of a write the byte limit allows, or -1 with errno ENOSPC if none. */
static ssize_t writable_bytes(int fd, size_t length) {
    if (control->disk_bytes < 0 || !below_directory(fd)) {
        return (ssize_t) length;
    }
    if (control->disk_bytes == 0) {
        errno = ENOSPC;
        __atomic_add_fetch(&control->injected, 1, __ATOMIC_RELAXED);
        return -1;
    }
    size_t fits = (size_t) control->disk_bytes < length ? (size_t) control->disk_bytes : length;
    control->disk_bytes -= (int64_t) fits;
    return (ssize_t) fits;
}

ssize_t read(int fd, void *bytes, size_t length) {
    return inject_network_fault(fd, &length) ? -1 : real_read(fd, bytes, length);
}

ssize_t write(int fd, const void *bytes, size_t length) {
    if (inject_network_fault(fd, &length) || inject_disk_fault(fd)) {
        return -1;
    }
    ssize_t writable = writable_bytes(fd, length);
    return writable < 0 ? -1 : real_write(fd, bytes, (size_t) writable);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    size_t length = 2;
    if (inject_network_fault(fd, &length) || inject_disk_fault(fd)) {
        return -1;
    }
    return length == 1 && count > 0 && parts[0].iov_len > 0
            ? real_write(fd, parts[0].iov_base, 1)
            : real_writev(fd, parts, count);
}

ssize_t pwrite64(int fd, const void *bytes, size_t length, off64_t at) {
    if (inject_disk_fault(fd)) {
        return -1;
    }
    ssize_t writable = writable_bytes(fd, length);
    return writable < 0 ? -1 : real_pwrite64(fd, bytes, (size_t) writable, at);
}

int fsync(int fd) {
    return inject_disk_fault(fd) ? -1 : real_fsync(fd);
}

int fdatasync(int fd) {
    return inject_disk_fault(fd) ? -1 : real_fdatasync(fd);
}

int rename(const char *from, const char *to) {
    if (control->disk_error != 0 && directory != NULL && strncmp(to, directory, strlen(directory)) == 0
            && should_fail(control->disk_failures)) {
        errno = (int) control->disk_error;
        return -1;
    }
    return real_rename(from, to);
}
