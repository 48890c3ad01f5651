#ifndef FIGLUG_TESTS_FUZZ_CORPUS_H_
#define FIGLUG_TESTS_FUZZ_CORPUS_H_

#include <string>
#include <string_view>
#include <vector>

namespace figlug::testing {

[[nodiscard]] std::string ReadInput(const std::string& path);
/// \brief Reads all files of a folder, in the order of their names.
[[nodiscard]] std::vector<std::string> ReadInputs(const std::string& folder);

/// \brief A file with the present input, which is removed unless it is kept or
/// the process ends before.
class InputFile {
 public:
  explicit InputFile(std::string path);
  ~InputFile();
  InputFile(const InputFile&) = delete;
  InputFile& operator=(const InputFile&) = delete;

  void Write(std::string_view input);
  void Keep() noexcept { m_is_kept = true; }
  [[nodiscard]] const std::string& path() const noexcept { return m_path; }

 private:
  std::string m_path;
  int m_file = -1;
  bool m_is_kept = false;
};

}  // namespace figlug::testing

#endif  // FIGLUG_TESTS_FUZZ_CORPUS_H_
