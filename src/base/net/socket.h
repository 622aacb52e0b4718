// Non-blocking sockets for loopback and private networks, whose connect, read and write operations are
// coroutines.
#pragma once

#include "base/net/buffer.h"
#include "base/net/descriptor_budget.h"
#include "base/net/result.h"
#include "base/sched/scheduler.h"

#include <memory>
#include <netinet/in.h>
#include <optional>
#include <span>
#include <string>

namespace myrtlehead::net {

using sched::Deadline;
using sched::Nanoseconds;
using sched::Scheduler;
using sched::Task;

// An IPv4 or IPv6 address with its port.
struct Address {
  sockaddr_in6 storage{}; // holds a sockaddr_in if the family is AF_INET
  Address() { storage.sin6_family = AF_INET; }
  const sockaddr *asSockaddr() const { return reinterpret_cast<const sockaddr *>(&storage); }
  sockaddr *asSockaddr() { return reinterpret_cast<sockaddr *>(&storage); }
  socklen_t size() const { return isV6() ? sizeof(sockaddr_in6) : sizeof(sockaddr_in); }
  bool isV6() const { return storage.sin6_family == AF_INET6; }
  // The port is at the same offset in sockaddr_in and sockaddr_in6.
  std::uint16_t port() const { return ntohs(storage.sin6_port); }
  bool operator==(const Address &other) const;
};
// Parses a text such as "10.1.0.18:6432" or "[fd00::12]:6432". Returns nullopt if the text has neither form.
std::optional<Address> parseAddress(std::string_view text);
// Returns the text that parseAddress() reads.
std::string formatAddress(const Address &address);

constexpr std::size_t kMaxWriteParts = 8; // of one Socket::write()

// A non-blocking socket descriptor. It is registered with the scheduler and counted in the budget during the
// lifetime of the object.
class Socket final : private sched::DescriptorObserver {
public:
  // Takes ownership of `fd`; the destructor closes it. Throws std::system_error, and leaves `fd` open, if the
  // descriptor can't be registered with epoll.
  Socket(Scheduler &sched, DescriptorBudget &budget, int fd);
  ~Socket();
  Socket(const Socket &) = delete;
  Socket &operator=(const Socket &) = delete;

  // Waits for data and appends at least one byte to `into`. Returns closedByPeer at the end of the stream.
  Task<ErrorCode> read(Buffer &into, Deadline deadline);
  // Writes all bytes. They must stay valid until the coroutine ends; after a failure a part may be written.
  Task<ErrorCode> write(std::string_view bytes, Deadline deadline);
  // The same for at most kMaxWriteParts parts in their order, which are gathered by the system call and not
  // copied. What is written is removed from the parts.
  Task<ErrorCode> write(std::span<std::string_view> parts, Deadline deadline);
  // Waits until epoll reports that the socket became readable after the call.
  Task<ErrorCode> waitReadable(Deadline deadline);
  // Reads once without waiting. Returns timedOut if there is nothing to read.
  ErrorCode tryRead(Buffer &into);
  // Writes without waiting. Returns the number of bytes that were written, 0 if the system call failed.
  std::size_t writeSome(std::string_view bytes);
  // Writes without waiting. Returns true if all bytes were written.
  bool tryWrite(std::string_view bytes) { return writeSome(bytes) == bytes.size(); }
  // Whether everything that was written has been acknowledged by the peer's system.
  bool isAllAcknowledged() const;
  // Whether the peer is known to have closed its end.
  bool isHungUp() const { return isHungUp_; }
  // Whether data, or the end of the stream, may have arrived that is not read yet.
  bool mayHaveUnreadData() const { return isReadReady_; }
  // Returns true if the peer has not closed the connection and there is nothing to read.
  bool isOpenAndIdle() const;
  // Cancels `token` as soon as the peer has closed its end, at once if it already has. The token must outlive
  // the registration; nullptr removes it.
  void cancelOnHangUp(sched::CancellationToken *token);
  // Ends the outgoing stream: the peer reads the end of the stream after the bytes written so far.
  void shutdownWrite();
  // Ends both directions. Coroutines that read from or write to this socket see the end of the stream.
  void shutdown();
  int fd() const { return fd_; }
  std::size_t bytesWritten() const { return bytesWritten_; } // by all write() calls so far
  Nanoseconds lastWriteAt() const { return lastWriteAt_; }   // when write() last wrote a byte

private:
  ssize_t sendParts(std::span<const std::string_view> parts);
  // Whether an event of the descriptor will tell when a system call can be repeated.
  enum class EventExpected { yes, no };
  friend Task<Result<std::unique_ptr<Socket>>> connect(Scheduler &, DescriptorBudget &, Address, Deadline);
  friend Result<std::unique_ptr<Socket>> tryAccept(Scheduler &, DescriptorBudget &, Socket &);
  Task<ErrorCode> awaitRetry(sched::Event &event, EventExpected expected, Deadline deadline);
  void onEvents(std::uint32_t events) override;
  Scheduler &sched_;
  DescriptorBudget &budget_;
  int fd_;
  sched::Event readable_;
  sched::Event writable_;
  sched::CancellationToken *hangUpToken_ = nullptr;
  bool isHungUp_ = false;
  bool isStream_ = false;
  bool isReadReady_ = true; // data may have arrived since a read last emptied the receive queue
  std::size_t bytesWritten_ = 0;
  Nanoseconds lastWriteAt_ = 0;
  int unregisteredFd_ = -1; // accepted, but not registered with epoll yet; -1: none
};

// Opens a TCP connection to `to`.
Task<Result<std::unique_ptr<Socket>>> connect(Scheduler &sched, DescriptorBudget &budget, Address to,
                                              Deadline deadline);

// Both throw std::system_error if the address cannot be bound, as the program cannot serve without it.
std::unique_ptr<Socket> listenTcp(Scheduler &sched, DescriptorBudget &budget, Address address);
std::unique_ptr<Socket> bindUdp(Scheduler &sched, DescriptorBudget &budget, Address address);
// Opens a datagram socket that receives only from `to`, at a local port chosen by the operating system.
// Returns nullptr if no descriptor or memory is left or there is no route to `to`.
std::unique_ptr<Socket> connectUdp(Scheduler &sched, DescriptorBudget &budget, Address to);
// Returns the local address of a socket.
Address localAddress(const Socket &socket);

// Accepts a connection from the backlog without waiting. The cause of a failure is timedOut if the backlog is
// empty, noDescriptorLeft if the system is short of descriptors or memory for the moment, and connectionLost
// for any other error, such as a connection that has already ended.
Result<std::unique_ptr<Socket>> tryAccept(Scheduler &sched, DescriptorBudget &budget, Socket &listener);

} // namespace myrtlehead::net
