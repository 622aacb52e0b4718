// The simulator's adapter as a program: batches in on standard input, replies out on standard output.
#include "adapter.h"

#include <cstdio>

namespace {

using namespace myrtlehead::wire;

constexpr std::size_t kMinFrameSize = 16;                   // bytes: the header of a batch
constexpr std::size_t kMaxFrameSize = std::size_t{1} << 30; // bytes

enum class Read { complete, endOfInput };

// Reads so many bytes. endOfInput: the input has ended before the first of them, where it may. Throws
// WireError where it ends within them.
Read readExactly(std::uint8_t *to, std::size_t size, bool mayEnd) {
  const auto got = std::fread(to, 1, size, stdin);
  if (got == size) return Read::complete;
  if (got == 0 && mayEnd && std::feof(stdin)) return Read::endOfInput;
  throw WireError("truncated: input ended after " + std::to_string(got) + " of " + std::to_string(size) +
                  " bytes");
}

void serve() {
  Adapter adapter;
  std::vector<std::uint8_t> frame;
  std::uint8_t length[4];
  while (readExactly(length, sizeof length, true) == Read::complete) {
    const std::size_t size = Reader(length, sizeof length).u32();
    if (size < kMinFrameSize || size > kMaxFrameSize)
      throw WireError("impossible frame length " + std::to_string(size));
    frame.resize(size);
    readExactly(frame.data(), size, false);
    Reader in(frame.data(), size);
    const auto &reply = adapter.answer(in);
    if (std::fwrite(reply.data(), 1, reply.size(), stdout) != reply.size() || std::fflush(stdout) != 0)
      throw WireError("standard output is closed");
  }
}

} // namespace

int main() {
  try {
    serve();
  } catch (const std::exception &error) {
    std::fprintf(stderr, "myrtlehead_sim_adapter: %s\n", error.what());
    return 1;
  }
  return 0;
}
