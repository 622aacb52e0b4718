// Shared by the tests of rare orders on the clients' side: a client outside the scheduler.
#pragma once

#include <doctest/doctest.h>

#include "client_fixture.h"

#include <arpa/inet.h>
#include <poll.h>
#include <unistd.h>

namespace myrtlehead {

// A client of the system's own, outside the scheduler: what it does, it does within one round.
class Raw {
public:
  explicit Raw(const net::Address &to) : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    REQUIRE(connect(fd_, to.asSockaddr(), to.size()) == 0); // the machine accepts it, whoever listens
  }
  Raw(const Raw &) = delete;
  Raw &operator=(const Raw &) = delete;
  ~Raw() { leave(); }
  bool write(const std::string &bytes) { // false: the other side has ended it
    return send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size());
  }
  // The types of all messages up to the connection's end; "!" behind them where that is a reset.
  std::string all(std::string *codes = nullptr) {
    while (read(5000)) {}
    REQUIRE(fd_ < 0);
    return types(bytes_, codes) + (reset_ ? "!" : "");
  }
  // Reads what is there, and closes once the other side has.
  void follow() {
    while (fd_ >= 0 && read(0)) {}
  }

private:
  bool read(int withinMs) {
    char some[4096];
    pollfd ready{fd_, POLLIN, 0};
    if (fd_ < 0 || poll(&ready, 1, withinMs) != 1) return false;
    const auto n = recv(fd_, some, sizeof some, 0);
    if (n > 0) bytes_.append(some, static_cast<std::size_t>(n));
    reset_ = n < 0;
    if (n <= 0) leave();
    return n > 0;
  }
  void leave() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
  }
  static std::string types(std::string_view bytes, std::string *codes) {
    std::string out;
    pg::Message m;
    for (; pg::parseMessage(bytes, m) == pg::Parsed::whole; bytes.remove_prefix(m.size)) {
      if (m.type != 'S' && m.type != 'K') out += m.type;
      if (m.type == 'E' && codes != nullptr) *codes += std::string(pg::errorCode(m.body)) + " ";
    }
    return bytes.empty() ? out : out + "?";
  }
  int fd_;
  std::string bytes_;
  bool reset_ = false;
};

inline std::string ask(int id, const char *route = "read") {
  return query("SELECT v FROM records WHERE k = '7f' /* id=" + std::to_string(id) + ",c=" + route +
               ",d=2000 */");
}

} // namespace myrtlehead
