/*
 * Faults of the operating system for one process under test, loaded with LD_PRELOAD.
 *
 * The process that plays the faults maps the file named by FAULT_CONTROL and writes the fields of struct control; the process
 * under test reads them at each call. Only calls that Linux documents as failing are made to fail, with documented errors.
 * Network faults and hold-ups strike only threads that have waited in epoll_wait: event loops, not the JVM's own threads.
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

/* All fields are 64-bit words in the machine's byte order; FaultLibrary.java names the same indices. */
struct control {
    int64_t wall_step_ns;          /* added to CLOCK_REALTIME */
    int64_t holdup_ns;             /* an event loop sleeps so long after reading its clock ... */
    int64_t holdup_gap_ns;         /* ... and runs at least so long before the next time */
    int64_t call_failures;         /* of a million network calls, so many fail or are short */
    int64_t connection_failures;   /* of a million reads and writes on connections, so many break the connection */
    int64_t disk_error;            /* errno of writes, syncs, renames and opens for writing below FAULT_DIRECTORY, or 0 */
    int64_t disk_failures;         /* of a million of those calls, so many fail */
    int64_t disk_bytes;            /* bytes that may still be written below it, or -1: then ENOSPC after half a write */
    volatile int64_t injected;     /* calls that were made to fail, counted here for the player */
    volatile int64_t held_up;      /* hold-ups so far */
    int64_t accept_failures;       /* of a million calls of accept, so many more fail */
};

static struct control none;
static struct control *control = &none;
static const char *directory;
static __thread int event_loop;
static __thread uint32_t random_state;
static __thread int64_t held_up_at;

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

__attribute__((constructor)) static void begin(void) {
    none.disk_bytes = -1;
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

/* xorshift: a stream for each thread, so that no lock orders the threads of the process under test. */
static uint32_t draw(void) {
    if (random_state == 0) {
        random_state = (uint32_t) (uintptr_t) &random_state ^ (uint32_t) getpid() * 2654435761U;
        random_state |= 1;
    }
    random_state ^= random_state << 13;
    random_state ^= random_state >> 17;
    random_state ^= random_state << 5;
    return random_state;
}

static int strikes(int64_t of_a_million) {
    if (of_a_million <= 0 || draw() % MILLION >= (uint64_t) of_a_million) {
        return 0;
    }
    __atomic_add_fetch(&control->injected, 1, __ATOMIC_RELAXED);
    return 1;
}

static int one_of(const int *errors, int count) {
    errno = errors[draw() % (uint32_t) count];
    return -1;
}

static int is_socket(int fd) {
    int type;
    socklen_t length = sizeof type;
    return getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &length) == 0;
}

/* ---- clocks ---- */

static void hold_up(const struct timespec *now) {
    int64_t at = (int64_t) now->tv_sec * NANOS_PER_SECOND + now->tv_nsec;
    int64_t length = control->holdup_ns;
    if (!event_loop || length <= 0 || at - held_up_at < length + control->holdup_gap_ns) {
        return;
    }
    held_up_at = at;
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
        hold_up(now); /* what was read is old by now */
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

static int accept_fails(void) {
    return event_loop && (strikes(control->call_failures) || strikes(control->accept_failures));
}

int accept(int fd, struct sockaddr *peer, socklen_t *length) {
    if (accept_fails()) {
        return one_of(ACCEPT_ERRORS, COUNT(ACCEPT_ERRORS));
    }
    return real_accept(fd, peer, length);
}

int accept4(int fd, struct sockaddr *peer, socklen_t *length, int flags) {
    if (accept_fails()) {
        return one_of(ACCEPT_ERRORS, COUNT(ACCEPT_ERRORS));
    }
    return real_accept4(fd, peer, length, flags);
}

int socket(int domain, int type, int protocol) {
    if (event_loop && strikes(control->call_failures)) {
        return one_of(SOCKET_ERRORS, COUNT(SOCKET_ERRORS));
    }
    return real_socket(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *to, socklen_t length) {
    if (event_loop && strikes(control->call_failures)) {
        return one_of(CONNECT_ERRORS, COUNT(CONNECT_ERRORS));
    }
    return real_connect(fd, to, length);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) {
    event_loop = 1;
    if (strikes(control->call_failures)) {
        errno = EINTR;
        return -1;
    }
    return real_epoll_wait(fd, events, most, timeout);
}

/* 1: the call is to fail with errno set; 0: it goes on, with *length perhaps shortened to one byte. */
static int network_fault(int fd, size_t *length) {
    if (!event_loop || (control->call_failures <= 0 && control->connection_failures <= 0) || !is_socket(fd)) {
        return 0;
    }
    if (strikes(control->connection_failures)) {
        one_of(CONNECTION_ERRORS, COUNT(CONNECTION_ERRORS));
        shutdown(fd, SHUT_RDWR); /* the connection is gone for good */
        return 1;
    }
    if (strikes(control->call_failures)) {
        if (draw() & 1) {
            errno = draw() & 1 ? EINTR : EAGAIN;
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

static int disk_fault(int fd) {
    if (control->disk_error == 0 || !below_directory(fd) || !strikes(control->disk_failures)) {
        return 0;
    }
    errno = (int) control->disk_error;
    return 1;
}

/* Where a budget of bytes is set: how much of a write fits, or -1 with ENOSPC when none does. */
static ssize_t disk_room(int fd, size_t length) {
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
    return network_fault(fd, &length) ? -1 : real_read(fd, bytes, length);
}

ssize_t write(int fd, const void *bytes, size_t length) {
    if (network_fault(fd, &length) || disk_fault(fd)) {
        return -1;
    }
    ssize_t room = disk_room(fd, length);
    return room < 0 ? -1 : real_write(fd, bytes, (size_t) room);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    size_t length = 2;
    if (network_fault(fd, &length) || disk_fault(fd)) {
        return -1;
    }
    return length == 1 && count > 0 && parts[0].iov_len > 0
            ? real_write(fd, parts[0].iov_base, 1)
            : real_writev(fd, parts, count);
}

ssize_t pwrite64(int fd, const void *bytes, size_t length, off64_t at) {
    if (disk_fault(fd)) {
        return -1;
    }
    ssize_t room = disk_room(fd, length);
    return room < 0 ? -1 : real_pwrite64(fd, bytes, (size_t) room, at);
}

int fsync(int fd) {
    return disk_fault(fd) ? -1 : real_fsync(fd);
}

int fdatasync(int fd) {
    return disk_fault(fd) ? -1 : real_fdatasync(fd);
}

int rename(const char *from, const char *to) {
    if (control->disk_error != 0 && directory != NULL && strncmp(to, directory, strlen(directory)) == 0
            && strikes(control->disk_failures)) {
        errno = (int) control->disk_error;
        return -1;
    }
    return real_rename(from, to);
}
