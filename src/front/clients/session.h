// One client connection, from its startup message to its end.
#pragma once

#include "format/pg/message.h"
#include "format/pg/statement.h"
#include "front/clients/door.h"

namespace myrtlehead::clients {

class Session {
public:
  Session(Door &door, std::unique_ptr<net::Socket> socket, std::uint32_t number);
  ~Session();
  Session(const Session &) = delete;
  Session &operator=(const Session &) = delete;

  net::Task<> run(bool stays); // if not, it is refused: there is no descriptor to spare
  void stopIdling();           // it may be closed now, being between reqs
  void end();                  // likewise, as the marshal ends: what has come is still answered
  Ns since() const { return since_; }
  bool hasAsked() const { return asked_; }

private:
  enum Standing { parted, early, idle, busy };
  void stand(Standing is);
  std::list<Session *> &list(Standing of);
  net::Task<bool> startUp(Ns within);
  net::Task<> partWith();
  net::Task<> endBetween();
  net::Task<net::Cause> lastRead(Ns begun);
  net::Task<bool> nextMessage(pg::Message &out);
  net::Task<> rest();
  net::Task<bool> takePlace(Ns latest);
  net::Task<bool> answer(pg::Message message);
  net::Task<bool> query(std::string_view sql);
  net::Task<bool> serve(const pg::Statement &statement, int route);
  net::Task<bool> flush();
  void complain(std::string_view code, std::string_view message, bool ready = true);
  net::Task<> breakOff(std::string_view message); // an error that ends the connection

  Door &door_;
  std::unique_ptr<net::Socket> socket_;
  std::uint32_t number_;
  net::Buffer buffer_;
  sched::Stop gone_;      // the client has closed its end
  sched::Stop enough_;    // the marshal wants the connection back
  bool skipping_ = false; // an extended-protocol error: all is skipped up to Sync
  std::list<Session *>::iterator inAll_, inList_;
  Standing standing_ = busy;
  Ns opened_, since_; // when it was opened, and when it came to stand as it does
  bool asked_ = false, parting_ = false;
  bool looked_ = false; // for the last time, at what has come
  unsigned faults_ = 0;
  std::string out_;  // answers not yet written
  net::Place place_; // of its large message
};

} // namespace myrtlehead::clients
