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

// The meaning of an errno of a connection.
ErrorCode errorOf(int error) {
  return error == ECONNREFUSED ? ErrorCode::refused : ErrorCode::connectionLost;
}

// Why a wait for a descriptor ended without its event.
ErrorCode errorOf(sched::WakeReason woken) {
  return woken == sched::WakeReason::cancelled ? ErrorCode::cancelled : ErrorCode::timedOut;
}

void disableNagle(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

[[noreturn]] void closeAndThrow(int fd, const char *what) {
  const int error = errno;
  if (fd >= 0) close(fd);
  throw std::system_error(error, std::generic_category(), what);
}

std::unique_ptr<Socket> bindSocket(Scheduler &sched, DescriptorBudget &budget, Address address, int kind) {
  const int fd = socket(address.storage.sin6_family, kind | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) closeAndThrow(fd, "socket");
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind(fd, address.asSockaddr(), address.size()) != 0) closeAndThrow(fd, "can't bind");
  if (kind == SOCK_STREAM && listen(fd, SOMAXCONN) != 0) closeAndThrow(fd, "can't listen");
  return std::make_unique<Socket>(sched, budget, fd);
}

} // namespace

bool Address::operator==(const Address &other) const {
  if (storage.sin6_family != other.storage.sin6_family || storage.sin6_port != other.storage.sin6_port)
    return false;
  if (isV6()) return std::memcmp(&storage.sin6_addr, &other.storage.sin6_addr, sizeof storage.sin6_addr) == 0;
  return reinterpret_cast<const sockaddr_in *>(&storage)->sin_addr.s_addr ==
         reinterpret_cast<const sockaddr_in *>(&other.storage)->sin_addr.s_addr;
}

std::optional<Address> parseAddress(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  auto host = std::string(text.substr(0, colon));
  const auto port = text.substr(colon + 1);
  std::uint16_t number = 0;
  const auto r = std::from_chars(port.data(), port.data() + port.size(), number);
  if (port.empty() || r.ec != std::errc{} || r.ptr != port.data() + port.size()) return std::nullopt;
  Address address;
  const bool isV6 = host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (isV6) host = host.substr(1, host.size() - 2);
  auto *v4Place = &reinterpret_cast<sockaddr_in *>(address.asSockaddr())->sin_addr;
  address.storage.sin6_family = isV6 ? AF_INET6 : AF_INET;
  address.storage.sin6_port = htons(number);
  const void *place = isV6 ? static_cast<const void *>(&address.storage.sin6_addr) : v4Place;
  if (inet_pton(address.storage.sin6_family, host.c_str(), const_cast<void *>(place)) != 1)
    return std::nullopt;
  return address;
}

std::string formatAddress(const Address &address) {
  char host[INET6_ADDRSTRLEN] = "";
  const auto port = std::string(":").append(std::to_string(address.port()));
  if (address.isV6()) {
    inet_ntop(AF_INET6, &address.storage.sin6_addr, host, sizeof host);
    return std::string("[").append(host).append("]").append(port);
  }
  inet_ntop(AF_INET, &reinterpret_cast<const sockaddr_in *>(address.asSockaddr())->sin_addr, host,
            sizeof host);
  return host + port;
}

Socket::Socket(Scheduler &sched, DescriptorBudget &budget, int fd) : sched_(sched), budget_(budget), fd_(fd) {
  int kind = 0;
  socklen_t size = sizeof kind;
  isStream_ = getsockopt(fd, SOL_SOCKET, SO_TYPE, &kind, &size) == 0 && kind == SOCK_STREAM;
  budget_.acquire();
  sched_.watch(fd, *this);
}

Socket::~Socket() {
  sched_.unwatch(fd_);
  close(fd_);
  budget_.release();
}

void Socket::onEvents(std::uint32_t events) {
  const bool isHangUp = (events & (EPOLLHUP | EPOLLERR | EPOLLRDHUP)) != 0;
  const bool isReadable = isHangUp || (events & EPOLLIN) != 0;
  const bool isWritable = isHangUp || (events & EPOLLOUT) != 0;
  if (isHangUp) isHungUp_ = true;
  if (isReadable) {
    isReadReady_ = true;
    readable_.notify();
  }
  if (isWritable) writable_.notify();
  if (isHangUp && hangUpToken_ != nullptr) hangUpToken_->cancel();
}

void Socket::cancelOnHangUp(sched::CancellationToken *token) {
  hangUpToken_ = token;
  if (isHungUp_ && token != nullptr) token->cancel();
}

void Socket::shutdownWrite() { ::shutdown(fd_, SHUT_WR); }

void Socket::shutdown() { ::shutdown(fd_, SHUT_RDWR); }

ErrorCode Socket::tryRead(Buffer &into) {
  const auto space = into.prepare(kReadSize);
  const auto n = recv(fd_, space.data(), space.size(), 0);
  const bool isDrained = n < 0 ? errno == EAGAIN : isStream_ && static_cast<std::size_t>(n) < space.size();
  if (isDrained && !isHungUp_) isReadReady_ = false; // what arrives from now on is an edge of its own
  if (n > 0) {
    into.commit(static_cast<std::size_t>(n));
    return ErrorCode::none;
  }
  if (n == 0) return ErrorCode::closedByPeer;
  return errno == EAGAIN || errno == EINTR ? ErrorCode::timedOut : ErrorCode::connectionLost;
}

Task<ErrorCode> Socket::read(Buffer &into, Deadline deadline) {
  for (;;) {
    // Where nothing can be there, a system call is saved.
    const auto error = isReadReady_ ? tryRead(into) : ErrorCode::timedOut;
    if (error != ErrorCode::timedOut) co_return error;
    const auto woken = co_await sched_.wait(readable_, deadline);
    if (woken != sched::WakeReason::notified) co_return errorOf(woken);
  }
}

Task<ErrorCode> Socket::waitReadable(Deadline deadline) {
  const auto woken = co_await sched_.wait(readable_, deadline);
  co_return woken == sched::WakeReason::notified ? ErrorCode::none : errorOf(woken);
}

Task<ErrorCode> Socket::write(std::string_view bytes, Deadline deadline) {
  while (!bytes.empty()) {
    const auto n = send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n >= 0) {
      bytes.remove_prefix(static_cast<std::size_t>(n));
      bytesWritten_ += static_cast<std::size_t>(n);
      continue;
    }
    if (errno != EAGAIN && errno != EINTR) co_return ErrorCode::connectionLost;
    const auto woken = co_await sched_.wait(writable_, deadline);
    if (woken != sched::WakeReason::notified) co_return errorOf(woken);
  }
  co_return ErrorCode::none;
}

bool Socket::tryWrite(std::string_view bytes) {
  return send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size());
}

bool Socket::isOpenAndIdle() const {
  char byte;
  return recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN;
}

Task<Result<std::unique_ptr<Socket>>> connect(Scheduler &sched, DescriptorBudget &budget, Address to,
                                              Deadline deadline) {
  const int fd = ::socket(to.storage.sin6_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) co_return Failure{ErrorCode::noDescriptorLeft};
  auto socket = std::make_unique<Socket>(sched, budget, fd);
  disableNagle(fd);
  if (::connect(fd, to.asSockaddr(), to.size()) == 0) co_return std::move(socket);
  if (errno != EINPROGRESS) co_return Failure{errorOf(errno)};
  const auto woken = co_await sched.wait(socket->writable_, deadline);
  if (woken != sched::WakeReason::notified) co_return Failure{errorOf(woken)};
  int error = 0;
  socklen_t size = sizeof error;
  getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) co_return Failure{errorOf(error)};
  co_return std::move(socket);
}

std::unique_ptr<Socket> listenTcp(Scheduler &sched, DescriptorBudget &budget, Address address) {
  return bindSocket(sched, budget, address, SOCK_STREAM);
}

std::unique_ptr<Socket> bindUdp(Scheduler &sched, DescriptorBudget &budget, Address address) {
  return bindSocket(sched, budget, address, SOCK_DGRAM);
}

std::unique_ptr<Socket> connectUdp(Scheduler &sched, DescriptorBudget &budget, Address to) {
  const int fd = socket(to.storage.sin6_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return nullptr;
  auto out = std::make_unique<Socket>(sched, budget, fd);
  if (::connect(fd, to.asSockaddr(), to.size()) != 0) return nullptr;
  return out;
}

Address localAddress(const Socket &socket) {
  Address address;
  socklen_t size = sizeof address.storage;
  getsockname(socket.fd(), address.asSockaddr(), &size);
  return address;
}

Result<std::unique_ptr<Socket>> tryAccept(Scheduler &sched, DescriptorBudget &budget, Socket &listener) {
  const int fd = accept4(listener.fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd < 0) {
    if (errno == EAGAIN) return Failure{ErrorCode::timedOut};
    const bool isShort = errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM;
    return Failure{isShort ? ErrorCode::noDescriptorLeft : ErrorCode::connectionLost};
  }
  disableNagle(fd);
  return std::make_unique<Socket>(sched, budget, fd);
}

} // namespace myrtlehead::net
