// Where members and submitters ask this member: HTTP on the address that the settings name.
#pragma once

#include "fleet/jobs.h"

namespace myrtlehead::fleet {

class Door {
public:
  // Throws std::system_error where the address can't be had.
  Door(net::Scheduler &sched, net::Descriptors &budget, Registers &registers, Jobs &jobs,
       const Membership &membership, log::Log &log);
  net::Task<> accept(); // for as long as the marshal lives
  net::Address address() const { return net::localAddress(*listener_); }

private:
  struct Due; // an answer that is being made, in the order of its connection
  struct Line;
  net::Task<> serve(std::unique_ptr<net::Socket> socket);
  net::Task<> write(std::shared_ptr<Line> line);
  net::Task<> make(std::shared_ptr<Line> line, std::shared_ptr<Due> due, std::string method,
                   std::string target, std::string body);
  net::Task<Answered> answer(std::string method, std::string target, std::string body);
  Answered members() const;

  net::Scheduler &sched_;
  net::Descriptors &budget_;
  Registers &registers_;
  Jobs &jobs_;
  const Membership &membership_;
  log::Log &log_;
  std::unique_ptr<net::Socket> listener_;
  int open_ = 0;
};

} // namespace myrtlehead::fleet
