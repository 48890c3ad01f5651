#include "corpus.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <utility>

namespace figlug::testing {

std::string ReadInput(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

std::vector<std::string> ReadInputs(const std::string& folder) {
  std::vector<std::string> paths;
  std::error_code error;
  for (const auto& entry : std::filesystem::directory_iterator(folder, error)) {
    paths.push_back(entry.path().string());
  }
  std::sort(paths.begin(), paths.end());
  std::vector<std::string> inputs(paths.size());
  std::transform(paths.begin(), paths.end(), inputs.begin(), ReadInput);
  return inputs;
}

InputFile::InputFile(std::string path)
    : m_path(std::move(path)),
      m_file(open(m_path.c_str(), O_CREAT | O_WRONLY | O_CLOEXEC, 0644)) {}

InputFile::~InputFile() {
  close(m_file);
  if (!m_is_kept) {
    unlink(m_path.c_str());
  }
}

void InputFile::Write(std::string_view input) {
  const auto size = static_cast<ssize_t>(input.size());
  if (pwrite(m_file, input.data(), input.size(), 0) != size ||
      ftruncate(m_file, size) != 0) {
    std::cerr << m_path << ": cannot be written\n";
  }
}

}  // namespace figlug::testing
