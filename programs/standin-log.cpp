#include "standin/log_service.hpp"

#include <cxxopts.hpp>
#include <iostream>
#include <thread>

int
main(int aCount, char** aArguments)
{
  cxxopts::Options options("standin-log",
                           "Stand-in for the platform's log service.");
  options.add_options()(
    "listen",
    "number:port",
    cxxopts::value<std::string>()->default_value("127.0.0.1:7000"));
  try {
    const auto given = options.parse(aCount, aArguments);
    standin::LogService service;
    const auto status = service.Start(given["listen"].as<std::string>());
    if (!status.ok()) {
      std::cerr << status.message() << "\n";
      return 1;
    }
    while (true) {
      std::this_thread::sleep_for(std::chrono::hours(1));
    }
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
}
