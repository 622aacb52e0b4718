// Shared by tests that need an exact order of events: a client outside the scheduler.
#pragma once

#include <doctest/doctest.h>

#include "client_fixture.h"

#include <arpa/inet.h>
#include <poll.h>
#include <unistd.h>

namespace myrtlehead {

// A client with a blocking socket, outside the scheduler: each call completes within one scheduler round.
class RawClient {
public:
  // `receiveBuffer`: the size of the kernel's buffer for what is not read, in bytes; 0: as usual.
  explicit RawClient(const net::Address &to, int receiveBuffer = 0) : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    if (receiveBuffer > 0)
      REQUIRE(setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer) == 0);
    REQUIRE(connect(fd_, to.asSockaddr(), to.size()) == 0); // accepted by the kernel into the backlog
  }
  RawClient(const RawClient &) = delete;
  RawClient &operator=(const RawClient &) = delete;
  ~RawClient() { close(); }
  // Returns false if the other side has closed the connection.
  bool write(const std::string &bytes) {
    return send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size());
  }
  // Writes what the kernel takes at once.
  void writeSome(const std::string &bytes) {
    REQUIRE(send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT) > 0);
  }
  // Closes the connection. What was written is still delivered by the kernel.
  void leave() { close(); }
  // Ends what the client sends; it still reads.
  void endSending() { REQUIRE(shutdown(fd_, SHUT_WR) == 0); }
  // Reads up to the end of the connection and returns the types of all messages, followed by "?" if
  // the last message is incomplete and by "!" if the connection was reset. `codes` receives the SQLSTATEs of
  // all errors, each followed by a space.
  std::string readToEnd(std::string *codes = nullptr) {
    while (read(5000)) {}
    REQUIRE(fd_ < 0);
    return readMessageTypes(bytes_, codes) + (isReset_ ? "!" : "");
  }
  // Reads the available bytes, and closes the socket if the other side has closed the connection.
  void readAvailable() {
    while (fd_ >= 0 && read(0)) {}
  }

  // Returns the types of the messages read so far, as readToEnd() does.
  std::string answers(std::string *codes = nullptr) const {
    return readMessageTypes(bytes_, codes) + (isReset_ ? "!" : "");
  }

private:
  // Returns whether bytes were read within the timeout.
  bool read(int timeoutMs) {
    char chunk[4096];
    pollfd ready{fd_, POLLIN, 0};
    if (fd_ < 0 || poll(&ready, 1, timeoutMs) != 1) return false;
    const auto n = recv(fd_, chunk, sizeof chunk, 0);
    if (n > 0) bytes_.append(chunk, static_cast<std::size_t>(n));
    isReset_ = n < 0;
    if (n <= 0) close();
    return n > 0;
  }
  void close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  static std::string readMessageTypes(std::string_view bytes, std::string *codes) {
    std::string out;
    pg::Message m;
    for (; pg::parseMessage(bytes, m) == pg::ParseStatus::complete; bytes.remove_prefix(m.size)) {
      if (m.type != 'S' && m.type != 'K') out += m.type;
      if (m.type == 'E' && codes != nullptr) *codes += std::string(pg::errorCode(m.body)) + " ";
    }
    return bytes.empty() ? out : out + "?";
  }
  int fd_;
  std::string bytes_;
  bool isReset_ = false;
};

inline std::string requestMessage(int id, const char *route = "read") {
  return queryMessage("SELECT v FROM records WHERE k = '7f' /* id=" + std::to_string(id) + ",c=" + route +
                      ",d=2000 */");
}

} // namespace myrtlehead
