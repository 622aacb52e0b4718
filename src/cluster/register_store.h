// What a member must not forget: its registers, and that it has lived before. A promise leaves only once it
// is here.
#pragma once

#include "base/sched/scheduler.h"
#include "policy/consensus_register.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

struct sqlite3;

namespace myrtlehead::cluster {

// The registers as they stand, in memory and in order of their keys; what changes them goes to the disk.
class RegisterStore {
public:
  virtual ~RegisterStore() = default;
  custody::Held &held(const std::string &key) { return registers_[key]; }
  const std::map<std::string, custody::Held> &all() const { return registers_; }
  // Returns once the register, as it stands at the call, is on the disk. "": it is; otherwise why not, and
  // nothing that rests on it may be said.
  virtual sched::Task<std::string> keep(std::string key) = 0;
  virtual void forget(const std::string &key) { registers_.erase(key); }
  std::uint64_t life() const { return life_; }

protected:
  std::map<std::string, custody::Held> registers_;
  std::uint64_t life_ = 1;
};

// In SQLite (WAL, synced), written by one thread, all that waits in one transaction. A file that is damaged,
// another member's or of a later form is set aside as FILE.refused; `refusal` says so, and the ledger starts
// empty.
class SqliteRegisterStore final : public RegisterStore {
public:
  // Throws std::runtime_error with a sentence where the folder can't be written.
  SqliteRegisterStore(sched::Scheduler &sched, const std::string &folder, const std::string &of,
                      std::uint64_t unixNow);
  ~SqliteRegisterStore() override;
  sched::Task<std::string> keep(std::string key) override;
  void forget(const std::string &key) override;
  sched::Task<> wake(); // for as long as the instance lives: takes up what the thread has written
  int eventFd() const { return event_; }
  std::string refusal;

private:
  struct Write {
    std::string key;
    custody::Held held;
    bool gone = false;
    bool over = false;
    std::string fault;
    sched::Event written;
  };
  std::string open(const std::string &of, std::uint64_t unixNow); // "", or why the file is refused
  void load();
  void run();
  std::string writeAll(const std::deque<std::shared_ptr<Write>> &batch);
  sched::Scheduler &sched_;
  std::string path_;
  sqlite3 *db_ = nullptr;
  int event_ = -1;
  std::mutex mutex_;
  std::condition_variable handed_;
  std::deque<std::shared_ptr<Write>> waiting_, written_;
  bool over_ = false;
  std::thread thread_;
};

} // namespace myrtlehead::cluster
