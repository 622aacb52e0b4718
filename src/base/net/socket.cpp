#include "base/net/socket.h"

#include <arpa/inet.h>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>

namespace myrtlehead::net {

namespace {

constexpr std::size_t kReadSize = 4096;

ErrorCode causeOf(int error) {
  return error == ECONNREFUSED ? ErrorCode::refused : ErrorCode::connectionLost;
}

ErrorCode causeOf(sched::WakeReason woken) {
  return woken == sched::WakeReason::cancelled ? ErrorCode::cancelled : ErrorCode::timedOut;
}

void noDelay(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

[[noreturn]] void fail(int fd, const char *what) {
  const int error = errno;
  if (fd >= 0) close(fd);
  throw std::system_error(error, std::generic_category(), what);
}

std::unique_ptr<Socket> bound(Scheduler &sched, DescriptorBudget &budget, Address at, int kind) {
  const int fd = socket(at.at.sin6_family, kind | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) fail(fd, "socket");
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind(fd, at.raw(), at.size()) != 0) fail(fd, "can't bind");
  if (kind == SOCK_STREAM && listen(fd, SOMAXCONN) != 0) fail(fd, "can't listen");
  return std::make_unique<Socket>(sched, budget, fd);
}

} // namespace

bool Address::operator==(const Address &o) const {
  if (at.sin6_family != o.at.sin6_family || at.sin6_port != o.at.sin6_port) return false;
  if (v6()) return std::memcmp(&at.sin6_addr, &o.at.sin6_addr, sizeof at.sin6_addr) == 0;
  return reinterpret_cast<const sockaddr_in *>(&at)->sin_addr.s_addr ==
         reinterpret_cast<const sockaddr_in *>(&o.at)->sin_addr.s_addr;
}

std::optional<Address> parseAddress(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  auto host = std::string(text.substr(0, colon));
  const auto port = text.substr(colon + 1);
  std::uint16_t number = 0;
  const auto r = std::from_chars(port.data(), port.data() + port.size(), number);
  if (port.empty() || r.ec != std::errc{} || r.ptr != port.data() + port.size()) return std::nullopt;
  Address a;
  const bool v6 = host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (v6) host = host.substr(1, host.size() - 2);
  auto *v4At = &reinterpret_cast<sockaddr_in *>(a.raw())->sin_addr;
  a.at.sin6_family = v6 ? AF_INET6 : AF_INET;
  a.at.sin6_port = htons(number);
  const void *place = v6 ? static_cast<const void *>(&a.at.sin6_addr) : v4At;
  if (inet_pton(a.at.sin6_family, host.c_str(), const_cast<void *>(place)) != 1) return std::nullopt;
  return a;
}

std::string text(const Address &address) {
  char host[INET6_ADDRSTRLEN] = "";
  const auto port = std::string(":").append(std::to_string(address.port()));
  if (address.v6()) {
    inet_ntop(AF_INET6, &address.at.sin6_addr, host, sizeof host);
    return std::string("[").append(host).append("]").append(port);
  }
  inet_ntop(AF_INET, &reinterpret_cast<const sockaddr_in *>(address.raw())->sin_addr, host, sizeof host);
  return host + port;
}

Socket::Socket(Scheduler &sched, DescriptorBudget &budget, int fd) : sched_(sched), budget_(budget), fd_(fd) {
  int kind = 0;
  socklen_t size = sizeof kind;
  stream_ = getsockopt(fd, SOL_SOCKET, SO_TYPE, &kind, &size) == 0 && kind == SOCK_STREAM;
  budget_.take();
  sched_.watch(fd, *this);
}

Socket::~Socket() {
  sched_.unwatch(fd_);
  close(fd_);
  budget_.give();
}

void Socket::onEvents(std::uint32_t events) {
  const bool over = (events & (EPOLLHUP | EPOLLERR | EPOLLRDHUP)) != 0;
  if (over) hungUp_ = true;
  if (over || (events & EPOLLIN) != 0) mayRead_ = true;
  if (over || (events & EPOLLIN) != 0) readable_.notify();
  if (over || (events & EPOLLOUT) != 0) writable_.notify();
  if (over && onHangUp_ != nullptr) onHangUp_->cancel();
}

void Socket::onHangUp(sched::CancellationToken *stop) {
  onHangUp_ = stop;
  if (hungUp_ && stop != nullptr) stop->cancel();
}

void Socket::endWriting() { shutdown(fd_, SHUT_WR); }

void Socket::shutDown() { shutdown(fd_, SHUT_RDWR); }

ErrorCode Socket::readNow(Buffer &into) {
  const auto room = into.room(kReadSize);
  const auto n = recv(fd_, room.data(), room.size(), 0);
  const bool all = n < 0 ? errno == EAGAIN : stream_ && static_cast<std::size_t>(n) < room.size();
  if (all && !hungUp_) mayRead_ = false; // what comes from now on is an edge of its own
  if (n > 0) {
    into.filled(static_cast<std::size_t>(n));
    return ErrorCode::none;
  }
  if (n == 0) return ErrorCode::closedByPeer;
  return errno == EAGAIN || errno == EINTR ? ErrorCode::timedOut : ErrorCode::connectionLost;
}

Task<ErrorCode> Socket::read(Buffer &into, Deadline until) {
  for (;;) {
    const auto cause = mayRead_ ? readNow(into) : ErrorCode::timedOut; // spares a call that finds nothing
    if (cause != ErrorCode::timedOut) co_return cause;
    const auto woken = co_await sched_.wait(readable_, until);
    if (woken != sched::WakeReason::notified) co_return causeOf(woken);
  }
}

Task<ErrorCode> Socket::readable(Deadline until) {
  const auto woken = co_await sched_.wait(readable_, until);
  co_return woken == sched::WakeReason::notified ? ErrorCode::none : causeOf(woken);
}

Task<ErrorCode> Socket::write(std::string_view bytes, Deadline until) {
  while (!bytes.empty()) {
    const auto n = send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n >= 0) {
      bytes.remove_prefix(static_cast<std::size_t>(n));
      written_ += static_cast<std::size_t>(n);
      continue;
    }
    if (errno != EAGAIN && errno != EINTR) co_return ErrorCode::connectionLost;
    const auto woken = co_await sched_.wait(writable_, until);
    if (woken != sched::WakeReason::notified) co_return causeOf(woken);
  }
  co_return ErrorCode::none;
}

bool Socket::writeNow(std::string_view bytes) {
  return send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size());
}

bool Socket::quiet() const {
  char byte;
  return recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN;
}

Task<Result<std::unique_ptr<Socket>>> connect(Scheduler &sched, DescriptorBudget &budget, Address to,
                                              Deadline until) {
  const int fd = ::socket(to.at.sin6_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) co_return Failure{ErrorCode::noDescriptorLeft};
  auto socket = std::make_unique<Socket>(sched, budget, fd);
  noDelay(fd);
  if (::connect(fd, to.raw(), to.size()) == 0) co_return std::move(socket);
  if (errno != EINPROGRESS) co_return Failure{causeOf(errno)};
  const auto woken = co_await sched.wait(socket->writable_, until);
  if (woken != sched::WakeReason::notified) co_return Failure{causeOf(woken)};
  int error = 0;
  socklen_t size = sizeof error;
  getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) co_return Failure{causeOf(error)};
  co_return std::move(socket);
}

std::unique_ptr<Socket> listenAt(Scheduler &sched, DescriptorBudget &budget, Address at) {
  return bound(sched, budget, at, SOCK_STREAM);
}

std::unique_ptr<Socket> datagramsAt(Scheduler &sched, DescriptorBudget &budget, Address at) {
  return bound(sched, budget, at, SOCK_DGRAM);
}

std::unique_ptr<Socket> datagramsTo(Scheduler &sched, DescriptorBudget &budget, Address to) {
  const int fd = socket(to.at.sin6_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return nullptr;
  auto out = std::make_unique<Socket>(sched, budget, fd);
  if (::connect(fd, to.raw(), to.size()) != 0) return nullptr;
  return out;
}

Address localAddress(const Socket &socket) {
  Address a;
  socklen_t size = sizeof a.at;
  getsockname(socket.fd(), a.raw(), &size);
  return a;
}

Result<std::unique_ptr<Socket>> acceptNow(Scheduler &sched, DescriptorBudget &budget, Socket &listener) {
  const int fd = accept4(listener.fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd < 0) {
    const bool none = errno == EAGAIN;
    const bool full = errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM;
    return Failure{none   ? ErrorCode::timedOut
                   : full ? ErrorCode::noDescriptorLeft
                          : ErrorCode::connectionLost};
  }
  noDelay(fd);
  return std::make_unique<Socket>(sched, budget, fd);
}

} // namespace myrtlehead::net
