#include "base/net/socket.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace myrtlehead::net {

namespace {

constexpr std::size_t kMinReadBytes = 4096; // free space of the buffer before each read

// The time after which a system call is repeated that has failed for want of a resource of the system.
constexpr Nanoseconds kResourceRetryInterval = 10'000'000; // 10 ms

// Whether a system call has failed because the system is short of memory, and may succeed a moment later. The
// connection itself is in order.
bool isResourceShortage(int error) { return error == ENOBUFS || error == ENOMEM; }

// Maps an errno value of a connection attempt.
ErrorCode errorFromErrno(int error) {
  const bool isLocal = isResourceShortage(error) || error == EAGAIN || error == EADDRNOTAVAIL;
  if (isLocal) return ErrorCode::noDescriptorLeft;
  return error == ECONNREFUSED ? ErrorCode::refused : ErrorCode::connectionLost;
}

// Repeats a system call for as long as a signal interrupts it.
template <class Call> auto retryInterrupted(Call call) {
  for (;;) {
    const auto result = call();
    if (result >= 0 || errno != EINTR) return result;
  }
}

// Maps the reason why a wait for a descriptor ended without an event of the descriptor.
ErrorCode errorFromWakeReason(sched::WakeReason reason) {
  return reason == sched::WakeReason::cancelled ? ErrorCode::cancelled : ErrorCode::timedOut;
}

// Removes the first `count` bytes of the parts.
void removePrefix(std::span<std::string_view> parts, std::size_t count) {
  for (auto &part : parts) {
    const auto removed = std::min(count, part.size());
    part.remove_prefix(removed);
    count -= removed;
  }
}

void disableNagle(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

// Closes `fd` if it is open and throws the error that errno holds.
[[noreturn]] void closeAndThrow(int fd, const char *operation, const Address &address) {
  const int error = errno;
  if (fd >= 0) close(fd);
  throw std::system_error(error, std::generic_category(), operation + formatAddress(address));
}

// Returns nullptr, and leaves `fd` open, if the descriptor can't be registered with epoll or memory is short.
std::unique_ptr<Socket> makeSocket(Scheduler &sched, DescriptorBudget &budget, int fd) {
  try {
    return std::make_unique<Socket>(sched, budget, fd);
  } catch (const std::exception &) {
    return nullptr;
  }
}

std::unique_ptr<Socket> bindSocket(Scheduler &sched, DescriptorBudget &budget, Address address, int type) {
  const int fd = socket(address.storage.sin6_family, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) closeAndThrow(fd, "cannot create a socket for ", address);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind(fd, address.asSockaddr(), address.size()) != 0) closeAndThrow(fd, "cannot bind to ", address);
  if (type == SOCK_STREAM && listen(fd, SOMAXCONN) != 0) closeAndThrow(fd, "cannot listen on ", address);
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
  std::uint16_t portNumber = 0;
  const auto parsed = std::from_chars(port.data(), port.data() + port.size(), portNumber);
  if (port.empty() || parsed.ec != std::errc{} || parsed.ptr != port.data() + port.size())
    return std::nullopt;
  Address address;
  const bool isV6 = host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (isV6) host = host.substr(1, host.size() - 2);
  auto *v4Address = &reinterpret_cast<sockaddr_in *>(address.asSockaddr())->sin_addr;
  address.storage.sin6_family = isV6 ? AF_INET6 : AF_INET;
  address.storage.sin6_port = htons(portNumber);
  const void *target = isV6 ? static_cast<const void *>(&address.storage.sin6_addr) : v4Address;
  if (inet_pton(address.storage.sin6_family, host.c_str(), const_cast<void *>(target)) != 1)
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
  int type = 0;
  socklen_t size = sizeof type;
  isStream_ = getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &size) == 0 && type == SOCK_STREAM;
  sched_.watch(fd, *this);
  budget_.acquire();
}

Socket::~Socket() {
  if (unregisteredFd_ >= 0) close(unregisteredFd_);
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
  const auto space = into.prepare(kMinReadBytes);
  const auto n = retryInterrupted([&] { return recv(fd_, space.data(), space.size(), 0); });
  const bool isDrained = n < 0 ? errno == EAGAIN : isStream_ && static_cast<std::size_t>(n) < space.size();
  if (isDrained && !isHungUp_) isReadReady_ = false; // epoll reports any later data as a new edge
  if (n > 0) {
    into.commit(static_cast<std::size_t>(n));
    return ErrorCode::none;
  }
  if (n == 0) return ErrorCode::closedByPeer;
  return errno == EAGAIN || isResourceShortage(errno) ? ErrorCode::timedOut : ErrorCode::connectionLost;
}

// Waits for the event, or only for a moment if no event will tell when the system call can be repeated.
Task<ErrorCode> Socket::awaitRetry(sched::Event &event, EventExpected expected, Deadline deadline) {
  const auto retryAt = expected == EventExpected::yes ? sched::kNever : sched_.now() + kResourceRetryInterval;
  const auto woken = co_await sched_.wait(event, {std::min(deadline.at, retryAt), deadline.cancellation});
  if (woken == sched::WakeReason::timedOut && retryAt < deadline.at) co_return ErrorCode::none;
  co_return woken == sched::WakeReason::notified ? ErrorCode::none : errorFromWakeReason(woken);
}

Task<ErrorCode> Socket::read(Buffer &into, Deadline deadline) {
  for (;;) {
    // No system call is made if no data can have arrived since the last read.
    const auto error = isReadReady_ ? tryRead(into) : ErrorCode::timedOut;
    if (error != ErrorCode::timedOut) co_return error;
    const auto expected = isReadReady_ ? EventExpected::no : EventExpected::yes;
    const auto waited = co_await awaitRetry(readable_, expected, deadline);
    if (waited != ErrorCode::none) co_return waited;
  }
}

Task<ErrorCode> Socket::waitReadable(Deadline deadline) {
  const auto woken = co_await sched_.wait(readable_, deadline);
  co_return woken == sched::WakeReason::notified ? ErrorCode::none : errorFromWakeReason(woken);
}

// Sends as send() does, with one system call for all parts.
ssize_t Socket::sendParts(std::span<const std::string_view> parts) {
  if (parts.size() == 1) return send(fd_, parts[0].data(), parts[0].size(), MSG_NOSIGNAL);
  std::array<iovec, kMaxWriteParts> vectors;
  msghdr message{};
  message.msg_iov = vectors.data();
  for (const auto part : parts.first(std::min(parts.size(), kMaxWriteParts)))
    vectors[message.msg_iovlen++] = {const_cast<char *>(part.data()), part.size()};
  return sendmsg(fd_, &message, MSG_NOSIGNAL);
}

Task<ErrorCode> Socket::write(std::string_view bytes, Deadline deadline) {
  const auto error = co_await write(std::span(&bytes, 1), deadline);
  co_return error;
}

Task<ErrorCode> Socket::write(std::span<std::string_view> parts, Deadline deadline) {
  for (;;) {
    while (!parts.empty() && parts.front().empty()) parts = parts.subspan(1);
    if (parts.empty()) co_return ErrorCode::none;
    const auto n = retryInterrupted([&] { return sendParts(parts); });
    if (n >= 0) {
      removePrefix(parts, static_cast<std::size_t>(n));
      bytesWritten_ += static_cast<std::size_t>(n);
      lastWriteAt_ = sched_.now();
      continue;
    }
    const int error = errno;
    if (error != EAGAIN && !isResourceShortage(error)) co_return ErrorCode::connectionLost;
    const auto expected = error == EAGAIN ? EventExpected::yes : EventExpected::no;
    const auto waited = co_await awaitRetry(writable_, expected, deadline);
    if (waited != ErrorCode::none) co_return waited;
  }
}

std::size_t Socket::writeSome(std::string_view bytes) {
  const auto n = retryInterrupted([&] { return send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL); });
  return n < 0 ? 0 : static_cast<std::size_t>(n);
}

bool Socket::isAllAcknowledged() const {
  int unacknowledgedBytes = 0;
  return ioctl(fd_, SIOCOUTQ, &unacknowledgedBytes) == 0 && unacknowledgedBytes == 0;
}

bool Socket::isOpenAndIdle() const {
  char byte;
  return recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN;
}

Task<Result<std::unique_ptr<Socket>>> connect(Scheduler &sched, DescriptorBudget &budget, Address to,
                                              Deadline deadline) {
  const int fd = ::socket(to.storage.sin6_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) co_return Failure{ErrorCode::noDescriptorLeft};
  auto socket = makeSocket(sched, budget, fd);
  if (socket == nullptr) {
    close(fd);
    co_return Failure{ErrorCode::noDescriptorLeft};
  }
  disableNagle(fd);
  if (::connect(fd, to.asSockaddr(), to.size()) == 0) co_return std::move(socket);
  const bool isInProgress = errno == EINPROGRESS || errno == EINTR;
  if (!isInProgress) co_return Failure{errorFromErrno(errno)};
  const auto woken = co_await sched.wait(socket->writable_, deadline);
  if (woken != sched::WakeReason::notified) co_return Failure{errorFromWakeReason(woken)};
  int error = 0;
  socklen_t size = sizeof error;
  getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) co_return Failure{errorFromErrno(error)};
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
  auto out = makeSocket(sched, budget, fd);
  if (out == nullptr) {
    close(fd);
    return nullptr;
  }
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
  const int accepted = std::exchange(listener.unregisteredFd_, -1);
  const auto accept = [&] { return accept4(listener.fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC); };
  const int fd = accepted >= 0 ? accepted : retryInterrupted(accept);
  if (fd < 0) {
    if (errno == EAGAIN) return Failure{ErrorCode::timedOut};
    const bool isOutOfResources = errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM;
    return Failure{isOutOfResources ? ErrorCode::noDescriptorLeft : ErrorCode::connectionLost};
  }
  auto socket = makeSocket(sched, budget, fd);
  if (socket == nullptr) {
    listener.unregisteredFd_ = fd; // closing it would lose the request that its client may have sent
    return Failure{ErrorCode::noDescriptorLeft};
  }
  disableNagle(fd);
  return socket;
}

} // namespace myrtlehead::net
