#include <iostream>

#include "ctl/command.h"

int main(int argc, char **argv) {
  bronzestand::ctl::CommandIo Io{std::cin, std::cout, std::cerr};
  return static_cast<int>(bronzestand::ctl::runCommand({argv + 1, argv + argc}, Io));
}
