// The way from one member to another: a question, a deadline, and an answer or how far the question came.
// Tasks know no more of it than this, so the laboratory runs them over links in memory.
#pragma once

#include "base/calls/line.h"
#include "fleet/membership.h"

#include <memory>

namespace myrtlehead::fleet {

using Answered = calls::Answered; // status as in HTTP, and a body

class Links {
public:
  virtual ~Links() = default;
  virtual net::Task<net::Result<Answered>> ask(std::uint32_t member, std::string what, std::string body,
                                               net::Until until) = 0;
};

// One standing HTTP connection for each member; a member that stalls keeps nobody else waiting. Questions
// beyond kMostOut to one member fail at once, as unconnected.
class HttpLinks final : public Links {
public:
  HttpLinks(net::Scheduler &sched, net::Descriptors &budget, const Membership &membership);
  net::Task<net::Result<Answered>> ask(std::uint32_t member, std::string what, std::string body,
                                       net::Until until) override;

private:
  static constexpr int kMostOut = 256;
  struct Peer {
    std::unique_ptr<calls::Line> line;
    std::string host;
    int out = 0;
  };
  std::vector<Peer> peers_;
};

} // namespace myrtlehead::fleet
