// Names of what a response says about a limit.
#include "tamarack/limits.hpp"

namespace tamarack::limits {

std::string_view toString(statement_form Form) {
  switch (Form) {
  case statement_form::Absent:
    return "none";
  case statement_form::Stated:
    return "stated";
  case statement_form::Unreadable:
    return "unreadable";
  }
  return "";
}

} // namespace tamarack::limits
