// Reads the fields of one JSON object and collects every mistake.
#pragma once

#include "tamarack/config.hpp"

#include <Poco/JSON/Object.h>

#include <set>

namespace tamarack::config {

class object_reader {
public:
  object_reader(Poco::JSON::Object::Ptr Object, std::string Location,
                std::vector<config_error> &Errors);

  std::string text(const std::string &Field, std::string_view Default);
  std::string requiredText(const std::string &Field);
  std::int64_t number(const std::string &Field, std::int64_t Default,
                      std::int64_t Least, std::int64_t Largest);
  double real(const std::string &Field, double Default, double Least,
              double Largest);
  bool flag(const std::string &Field, bool Default);
  label_set labels(const std::string &Field);
  selector selectorOf(const std::string &Field);
  std::vector<std::string> texts(const std::string &Field);
  Poco::JSON::Object::Ptr object(const std::string &Field);

  // Reports fields that nobody has asked for. Call it last.
  void refuseUnknown();

  void fail(const std::string &Field, std::string_view Text);

private:
  requirement requirementOf(const std::string &Location,
                            const std::string &Label,
                            const Poco::Dynamic::Var &Value);
  std::vector<std::string> values(const std::string &Location,
                                  const Poco::Dynamic::Var &Value);
  bool has(const std::string &Field);

  Poco::JSON::Object::Ptr Object;
  std::string Location;
  std::vector<config_error> &Errors;
  std::set<std::string> Known;
};

} // namespace tamarack::config
