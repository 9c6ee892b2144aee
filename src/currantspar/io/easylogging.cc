// The one place where the logging library's source is compiled in. It would open a file in the working
// directory before the settings that say where to log are read.
#define ELPP_NO_DEFAULT_LOG_FILE
#include <easylogging++.cc>
