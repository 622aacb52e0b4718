// Lets system calls and allocations of a test program fail, in ways that Linux documents. The calls come to
// the functions below before they come to the C library. For one source file of a program only.
#pragma once

#include <cerrno>
#include <cstdint>
#include <cstdlib>
#include <dlfcn.h>
#include <new>
#include <random>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <vector>

namespace {

// Fails a number of calls of one function with an error, or a share of them with errors that are drawn.
struct InjectedFailure {
  int error = 0;
  int calls = 0; // that still fail
  double share = 0;
  std::vector<int> drawnErrors = {};
  std::minstd_rand random{};
  bool takesCall() {
    if (share > 0 && std::uniform_real_distribution<double>(0, 1)(random) < share) {
      errno = drawnErrors[random() % drawnErrors.size()];
      return true;
    }
    if (calls == 0) return false;
    --calls;
    errno = error;
    return true;
  }
};
InjectedFailure recvFailure, sendFailure, acceptFailure, epollFailure, readFailure, allocationFailure;
int failingReadFd = -1;
// The sizes of allocations that may fail, and how many of them succeed before.
std::size_t minFailingSize = 150'000, maxFailingSize = SIZE_MAX;
int allocationsBeforeFailure = 0;

bool failsAllocation(std::size_t size) {
  if (size < minFailingSize || size > maxFailingSize || allocationFailure.calls == 0) return false;
  return allocationsBeforeFailure-- <= 0 && allocationFailure.takesCall();
}

template <class Function> Function *next(const char *name) {
  return reinterpret_cast<Function *>(dlsym(RTLD_NEXT, name));
}

} // namespace

[[gnu::noinline]] void *operator new(std::size_t size) {
  if (failsAllocation(size)) throw std::bad_alloc();
  if (void *const allocated = std::malloc(size)) return allocated;
  throw std::bad_alloc();
}
void *operator new(std::size_t size, const std::nothrow_t &) noexcept { return std::malloc(size); }
[[gnu::noinline]] void operator delete(void *allocated) noexcept { std::free(allocated); }
[[gnu::noinline]] void operator delete(void *allocated, std::size_t) noexcept { std::free(allocated); }

extern "C" ssize_t recv(int fd, void *into, size_t size, int flags) {
  if (recvFailure.takesCall()) return -1;
  static auto *const real = next<ssize_t(int, void *, size_t, int)>("recv");
  return real(fd, into, size, flags);
}

extern "C" ssize_t send(int fd, const void *from, size_t size, int flags) {
  if (sendFailure.takesCall()) return -1;
  static auto *const real = next<ssize_t(int, const void *, size_t, int)>("send");
  return real(fd, from, size, flags);
}

extern "C" ssize_t sendmsg(int fd, const msghdr *message, int flags) {
  if (sendFailure.takesCall()) return -1;
  static auto *const real = next<ssize_t(int, const msghdr *, int)>("sendmsg");
  return real(fd, message, flags);
}

extern "C" ssize_t read(int fd, void *into, size_t size) {
  if (fd == failingReadFd && readFailure.takesCall()) return -1;
  static auto *const real = next<ssize_t(int, void *, size_t)>("read");
  return real(fd, into, size);
}

extern "C" int accept4(int fd, sockaddr *address, socklen_t *size, int flags) {
  if (acceptFailure.takesCall()) return -1;
  static auto *const real = next<int(int, sockaddr *, socklen_t *, int)>("accept4");
  return real(fd, address, size, flags);
}

extern "C" int epoll_ctl(int epoll, int operation, int fd, epoll_event *event) noexcept {
  if (operation == EPOLL_CTL_ADD && epollFailure.takesCall()) return -1;
  static auto *const real = next<int(int, int, int, epoll_event *)>("epoll_ctl");
  return real(epoll, operation, fd, event);
}
