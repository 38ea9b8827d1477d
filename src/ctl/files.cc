#include "ctl/files.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace eelgrasspin::ctl {
namespace {

std::optional<std::string> read_all(std::istream& in) {
  std::ostringstream text;
  text << in.rdbuf();
  if (in.bad()) return std::nullopt;
  return text.str();
}

}  // namespace

std::optional<std::string> read_file(const std::string& path) {
  if (path == "-") return read_all(std::cin);
  std::ifstream file(path, std::ios::binary);
  if (!file) return std::nullopt;
  return read_all(file);
}

bool write_file(const std::string& path, const std::string& text) {
  std::ofstream file(path, std::ios::binary);
  file << text;
  file.close();
  return !file.fail();
}

}  // namespace eelgrasspin::ctl
