#include "lab/relay.h"

#include <array>
#include <cstdlib>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace myrtlehead::lab {

namespace {

// Two connected sockets whose bytes are forwarded to each other. Requests and answers are small, so a write
// that can't complete at once is treated as a failure and closes both.
struct RelayedConnection {
  int fd[2];
  bool isClosed = false;
};
struct ConnectionEnd {
  RelayedConnection *connection;
  int side;
};

void forward(ConnectionEnd &end) {
  std::array<char, 16384> bytes;
  auto &connection = *end.connection;
  const auto n = recv(connection.fd[end.side], bytes.data(), bytes.size(), MSG_DONTWAIT);
  if (n < 0 && errno == EAGAIN) return;
  if (n <= 0 ||
      send(connection.fd[1 - end.side], bytes.data(), static_cast<std::size_t>(n), MSG_NOSIGNAL) != n)
    connection.isClosed = true;
}

} // namespace

void runRelay(int listener, const std::vector<net::Address> &servers) {
  const int epoll = epoll_create1(0);
  epoll_event event{EPOLLIN, {.ptr = nullptr}};
  epoll_ctl(epoll, EPOLL_CTL_ADD, listener, &event);
  std::array<epoll_event, 256> events;
  for (std::size_t next = 0;;) {
    const int n = epoll_wait(epoll, events.data(), static_cast<int>(events.size()), -1);
    for (int i = 0; i < n; ++i) {
      auto *end = static_cast<ConnectionEnd *>(events[static_cast<std::size_t>(i)].data.ptr);
      if (end != nullptr) {
        forward(*end);
        if (end->connection->isClosed)
          close(end->connection->fd[0]),
              close(end->connection->fd[1]); // the memory is not freed: measurements are short
        continue;
      }
      const auto &server = servers[next++ % servers.size()];
      auto *connection = new RelayedConnection{
          {accept(listener, nullptr, nullptr), socket(AF_INET, SOCK_STREAM, 0)}};
      if (connection->fd[0] < 0 || connect(connection->fd[1], server.asSockaddr(), server.size()) != 0)
        std::abort();
      const int on = 1;
      for (int side = 0; side < 2; ++side) {
        setsockopt(connection->fd[side], IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        epoll_event readable{EPOLLIN, {.ptr = new ConnectionEnd{connection, side}}};
        epoll_ctl(epoll, EPOLL_CTL_ADD, connection->fd[side], &readable);
      }
    }
  }
}

} // namespace myrtlehead::lab
