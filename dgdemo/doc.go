package dgdemo
