// Replays a corpus: the files of the folders named, each through the target.
#include <cstdint>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <vector>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size);

int main(int argc, char **argv) {
  int n = 0;
  for (int i = 1; i < argc; ++i)
    for (const auto &file : std::filesystem::directory_iterator(argv[i])) {
      std::ifstream in(file.path(), std::ios::binary);
      const std::vector<char> bytes{std::istreambuf_iterator<char>(in), {}};
      LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
      ++n;
    }
  std::printf("%d inputs replayed\n", n);
  return n > 0 ? 0 : 1;
}
