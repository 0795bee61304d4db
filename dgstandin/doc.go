package dgstandin
